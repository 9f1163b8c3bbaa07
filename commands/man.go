package cmds

import (
	"bytes"
	"io"
	"os"
	"regexp"
)

type manCommand struct{}

func init() {
	register("man", "print the manual page", "Prints the manual page of all commands. docs/man/chicorymast.1 is made so.", &manCommand{})
}

// Execute prints the page.
func (*manCommand) Execute([]string) error {
	return writeManual(os.Stdout)
}

var manualDate = regexp.MustCompile(`(?m)^(\.TH chicorymast 1) .*$`)

// writeManual renders the page without a date, so that it changes only when
// the commands do.
func writeManual(w io.Writer) error {
	parser, err := newParser()
	if err != nil {
		return err
	}
	parser.ShortDescription = "overload control for service call graphs"
	var page bytes.Buffer
	parser.WriteManPage(&page)
	_, err = w.Write(manualDate.ReplaceAll(page.Bytes(), []byte("$1")))
	return err
}
