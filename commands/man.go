package cmds

import (
	"bytes"
	"io"
	"os"
	"regexp"
)

type manCommand struct{}

func init() {
	register("man", "print the manual page",
		"Prints the manual page in roff format. Its output is docs/man/chicorymast.1.", &manCommand{})
}

// Execute prints the manual page.
func (*manCommand) Execute([]string) error {
	return writeManual(os.Stdout)
}

var manualDate = regexp.MustCompile(`(?m)^(\.TH chicorymast 1) .*$`)

// writeManual writes the manual page without a date, so that the output depends on
// the commands only.
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
