package main

import (
	"fmt"
	"os"
)

// The exit codes.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the scripted cases by the name of their folder. Each returns whether its rule was
// broken.
var cases = map[string]func(rec *record, trouble bool) (bool, error){
	"6": caseHang,
	"7": caseLeak,
	"8": caseDrill,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: tool2 CASE RECORD")
		return couldNot
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.close()
	isBroken, err := cases[args[0]](rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.say("couldn't run: %v", err)
		return couldNot
	case isBroken:
		rec.say("the rule was broken")
		return broken
	}
	rec.say("the rule held")
	return held
}
