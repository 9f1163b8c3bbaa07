// Package cmds holds the subcommands of chicorymast, one type in one file
// each, registered by an init function.
//
// # Usage
//
//	os.Exit(cmds.Main(os.Args[1:]))
//
// Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings. What a
// command prints goes to standard output, errors go to standard error.
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
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError makes the exit code that of wrong usage.
type usageError struct{ error }

type command struct {
	name, short, long string
	data              any
	parent            string
}

// fresh returns the command's type without any option set, so that two command
// lines in one process do not share them.
func (c command) fresh() any {
	return reflect.New(reflect.TypeOf(c.data).Elem()).Interface()
}

var registry []command

func register(name, short, long string, data any) {
	registry = append(registry, command{name: name, short: short, long: long, data: data})
}

func registerUnder(parent, name, short, long string, data any) {
	registry = append(registry, command{name: name, short: short, long: long, data: data, parent: parent})
}

// Main runs the command line and returns the exit code.
func Main(args []string) int {
	parser, err := newParser()
	if err != nil {
		fmt.Fprintln(os.Stderr, "chicorymast:", err)
		return exitFailed
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
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.fresh()); err != nil {
			return nil, err
		}
	}
	for _, c := range registry {
		if c.parent == "" {
			continue
		}
		if _, err := parser.Find(c.parent).AddCommand(c.name, c.short, c.long, c.fresh()); err != nil {
			return nil, err
		}
	}
	return parser, nil
}

func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	var flagErr *flags.Error
	if errors.As(err, &flagErr) && flagErr.Type == flags.ErrHelp {
		fmt.Println(err)
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "chicorymast:", err)
	var settings *schema.Error
	var usage usageError
	if errors.As(err, &flagErr) || errors.As(err, &settings) || errors.As(err, &usage) {
		return exitUsage
	}
	return exitFailed
}
