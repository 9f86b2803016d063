package script_test

import (
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// begun are the requests in the background, by script and name.
var begun sync.Map

type begunKey struct {
	script *testscript.TestScript
	name   string
}

// begin NAME URL gets a page in the background, again while it is refused with 404 or 503.
func begin(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: begin name url")
	}
	statuses := make(chan string, 1)
	begun.Store(begunKey{ts, args[0]}, statuses)
	go func() {
		status := "503"
		for end := time.Now().Add(waitLimit); (status == "503" || status == "404") && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			var err error
			if status, _, err = get(args[1]); err != nil {
				status = "cut"
			}
		}
		statuses <- status
	}()
}

// end NAME STATUS waits for a request in the background; a status of cut means that its connection ended without an answer.
func end(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: end name status")
	}
	statuses, ok := begun.Load(begunKey{ts, args[0]})
	if !ok {
		ts.Fatalf("no request is named %s", args[0])
	}
	if status := <-statuses.(chan string); status != args[1] {
		ts.Fatalf("status %s, not %s", status, args[1])
	}
}
