// Package cmds implements the subcommands of chicorymast. Each of them has a type
// and registers itself in an init function.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:]))
//
// Exit codes: 0 success, 1 refused or failed, 2 invalid usage or settings. Results
// go to standard output and errors to standard error.
package cmds

import (
	"errors"
	"fmt"
	"os"
	"reflect"

	"chicorymast/core/schema"

	"github.com/jessevdk/go-flags"
)

// The exit codes.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// usageError is an error of the command line; it leads to exitUsage.
type usageError struct{ error }

// command is a registered subcommand. options points to a struct: the option parser
// fills a new value of its type, whose method Execute runs the command.
type command struct {
	name, short, long string
	options           any
	parent            string
}

// newOptions returns a zero value of the command's options, so that options do not
// carry over when a process runs several command lines, as tests do.
func (c command) newOptions() any {
	return reflect.New(reflect.TypeOf(c.options).Elem()).Interface()
}

var registry []command

func register(name, short, long string, options any) {
	registry = append(registry, command{name: name, short: short, long: long, options: options})
}

// registerUnder registers a subcommand of the command parent.
func registerUnder(parent, name, short, long string, options any) {
	registry = append(registry, command{name: name, short: short, long: long, options: options, parent: parent})
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	parser, err := newParser()
	if err != nil {
		fmt.Fprintln(os.Stderr, "chicorymast:", err)
		return exitFailure
	}
	_, err = parser.ParseArgs(args)
	return exitCode(err)
}

func newParser() (*flags.Parser, error) {
	parser := flags.NewNamedParser("chicorymast", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = "Overload control for service call graphs. See chicorymast(1) for the commands."
	for _, c := range registry {
		if c.parent != "" {
			continue
		}
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.newOptions()); err != nil {
			return nil, err
		}
	}
	for _, c := range registry {
		if c.parent == "" {
			continue
		}
		if _, err := parser.Find(c.parent).AddCommand(c.name, c.short, c.long, c.newOptions()); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func exitCode(err error) int {
	if err == nil {
		return exitSuccess
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitSuccess
	}
	fmt.Fprintln(os.Stderr, "chicorymast:", err)
	var settings *schema.Error
	var usage usageError
	if errors.As(err, &flagErr) || errors.As(err, &settings) || errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailure
}
