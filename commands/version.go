package cmds

import (
	"fmt"
	"runtime"
	"runtime/debug"
)

// Version is the version of the program; release builds override it.
var Version = "0.1.0-dev"

type versionCommand struct{}

func init() {
	register("version", "print the version",
		"Prints the version, the VCS revision of the source and the Go version.", &versionCommand{})
}

// Execute prints the version.
func (*versionCommand) Execute([]string) error {
	revision := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" {
				revision = s.Value
			}
		}
	}
	fmt.Printf("chicorymast %s (%s, %s)\n", Version, revision, runtime.Version())
	return nil
}
