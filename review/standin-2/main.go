// Command standin2 plays the scripts of the second review. It starts the project's own
// programs with the commands of the deploy file, on loopback addresses, together with small
// stand-ins for servers, clients and the operator.
//
//	standin2 CASE RECORD
//
// It runs in the root of the repository. The exit code is 1 if the rule was broken, 0 if it
// held and 2 if the case couldn't run. With TROUBLE=0 the disruption is left out.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(rec *record, trouble bool) (broken bool, err error){
	"bootstrap": caseBootstrap,
	"crash":     caseCrash,
}

func main() {
	os.Exit(play())
}

func play() int {
	const couldNotRun = 2
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return couldNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	broken, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return couldNotRun
	case broken:
		rec.say("the rule was broken")
		return 1
	}
	rec.say("the rule held")
	return 0
}
