// Command standin plays the cases of the review that are no days of the bench: it
// starts the project's daemons on loopback addresses, plays their operator, and judges
// what the operator sees.
//
// # Usage
//
//	standin CASE --program target/chicorymast --templates deploy --record record.txt [--trouble=false]
//
// The cases are twice (review/1), disks (review/2) and leave (review/4). The exit code is 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// options are the settings of a case.
type options struct {
	program   string
	templates string
	record    string
	trouble   bool
}

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE [flags]")
		os.Exit(exitNotRun)
	}
	var opt options
	flags := flag.NewFlagSet(os.Args[1], flag.ExitOnError)
	flags.StringVar(&opt.program, "program", "target/chicorymast", "the project's program")
	flags.StringVar(&opt.templates, "templates", "deploy", "folder of the settings templates")
	flags.StringVar(&opt.record, "record", "record.txt", "file for the record of the run")
	flags.BoolVar(&opt.trouble, "trouble", true, "cause the disruption")
	_ = flags.Parse(os.Args[2:]) // ExitOnError
	cases := map[string]func(options, *record) (broken bool, err error){"disks": runDisks, "twice": runTwice, "leave": runLeave}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "standin: unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(play(opt, run))
}

func play(opt options, run func(options, *record) (bool, error)) int {
	rec, err := newRecord(opt.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitNotRun
	}
	defer rec.close()
	broken, err := run(opt, rec)
	switch {
	case err != nil:
		rec.note("NOT RUN: %v", err)
		return exitNotRun
	case broken:
		rec.note("BROKEN")
		return exitBroken
	}
	rec.note("HELD")
	return exitHeld
}
