// Command chicorymast is an overload control layer for service call graphs. It
// contains both the daemon that runs beside every upstream and the command-line
// tool for operators.
package main

import (
	"os"

	cmds "chicorymast/commands"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:]))
}
