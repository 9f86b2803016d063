package script_test

import (
	"bytes"
	"strconv"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// send NAME INDEX sends STOP, CONT, TERM or KILL to the process that was started in the background as the INDEXth, from 0.
func send(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: send name index")
	}
	signals := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL,
	}
	index, err := strconv.Atoi(args[1])
	ts.Check(err)
	process := ts.BackgroundCmds()[index].Process
	ts.Check(process.Signal(signals[args[0]]))
	if signals[args[0]] == syscall.SIGSTOP {
		// A script that fails must be able to end the process.
		time.AfterFunc(waitLimit, func() { _ = process.Signal(syscall.SIGCONT) })
	}
}

// refused URL gets a page, once, and wants that no endpoint ran the request.
func refused(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: refused url")
	}
	status, page, err := get(args[0])
	ts.Check(err)
	if !bytes.Contains(page, []byte("Cowslip-Outcome: not_run\n")) {
		ts.Fatalf("status %s: %s", status, page)
	}
}
