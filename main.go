// Command chicorymast is an overload control layer for service call graphs:
// a daemon beside every upstream, and the operators' tool for all of them.
package main

import (
	"os"

	cmds "chicorymast/commands"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
