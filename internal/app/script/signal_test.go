package script_test

import (
	"bytes"
	"strconv"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// send NAME INDEX sends the signal STOP, CONT, TERM or KILL to a background process; INDEX counts these from 0 in the
// order of their start.
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
		// If the script fails, its processes must be able to exit, which a stopped process can't.
		time.AfterFunc(waitTimeout, func() { _ = process.Signal(syscall.SIGCONT) })
	}
}

// refused URL sends one GET and fails unless the outcome is not_run: no endpoint ran the request.
func refused(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: refused url")
	}
	status, page, err := get(args[0])
	ts.Check(err)
	if !bytes.Contains(page, []byte("Cowslip-Outcome: not_run\n")) {
		ts.Fatalf("got status %s, want outcome not_run: %s", status, page)
	}
}
