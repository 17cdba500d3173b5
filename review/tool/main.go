package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case couldn't run
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// cases has the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"memory":       memoryCase,
	"registration": registrationCase,
	"wall":         wallCase,
}

func main() { os.Exit(run()) }

func run() int {
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	c, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "review: no such case")
		return exitFailed
	}
	f, err := newFleet(*dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "review:", err)
		return exitFailed
	}
	defer f.close()
	type result struct {
		broken bool
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := c(f, *trouble)
		done <- result{broken, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	var broken bool
	select {
	case r := <-done:
		broken, err = r.broken, r.err
	case <-stopped:
		err = errors.New("stopped")
	case <-time.After(maxTime):
		err = errors.New("the case takes too long")
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "review:", err)
		return exitFailed
	case broken:
		f.record.printf("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	f.record.printf("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
