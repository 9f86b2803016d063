package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases maps the argument on the command line to a case.
var cases = map[string]func(*scene) error{
	"ends": manyEnds, "route": removedRoute, "name": serviceName, "kind": changedKind, "answer": lostAnswer, "crash": flakyMachine, "writer": otherWriter, "row": rowWithoutID,
}

func main() {
	os.Exit(run())
}

// run plays the case of the first argument and writes its record to the file of the second.
func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin ends|route|name|kind|answer|crash|writer|row RECORD")
		return exitNotRun
	}
	s, err := newScene(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.note("the case is broken off")
		s.close()
		os.Exit(exitNotRun)
	}()
	if err := cases[os.Args[1]](s); err != nil {
		s.note("the case could not run: %v", err)
		return exitNotRun
	}
	if broken := s.brokenRules(); broken > 0 {
		s.note("RESULT: broken, %d times", broken)
		return exitBroken
	}
	s.note("RESULT: held")
	return exitHeld
}

// errNotReached reports that the case did not come to the point that it tests.
var errNotReached = errors.New("the case did not come to the point that it tests")
