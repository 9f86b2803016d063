// Standin2 plays the cases of the second review: it starts the project's
// processes on loopback addresses, stands in for the platform, the servers, the
// clients and the operator, and checks one rule from what those see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken means that the rule was broken; any other error means that the case couldn't run.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name. Each returns errBroken, nil if the rule held, or why it couldn't run.
var cases = map[string]func(*site) error{
	"avail":    playUnansweredUpkeep,
	"late":     playLateSubmission,
	"listed":   playUnlistedMachine,
	"foreign":  playForeignReport,
	"twowaves": playTwoWaves,
	"gang":     playGreyGang,
	"entry":    playForeignEntry,
	"takeover": playForeignTakeover,
}

// caseTimeout ends a case that hangs; the limit for a script is 120 s.
const caseTimeout = 100 * time.Second

func init() {
	// The kernel ends the daemons with the thread that started them, which has to be the main one.
	runtime.LockOSThread()
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE COWSLIPD FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// run plays a case and returns its exit code.
func run(name, program, folder string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.log("case %s, trouble %v", name, trouble)
	s, err := newSite(program, record, trouble)
	if err != nil {
		record.log("could not run: %v", err)
		return exitNotRun
	}
	defer s.close()
	done, signals := make(chan error, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() { done <- play(s) }()
	select {
	case err = <-done:
	case sig := <-signals:
		err = fmt.Errorf("the stand-in got the signal: %v", sig)
	case <-time.After(caseTimeout):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		record.log("HELD")
		return exitHeld
	case errors.Is(err, errBroken):
		record.log("BROKEN: %v", err)
		return exitBroken
	default:
		record.log("could not run: %v", err)
		return exitNotRun
	}
}
