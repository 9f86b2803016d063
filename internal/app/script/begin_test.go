package script_test

import (
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// backgroundRequests holds the status channels of the background requests by backgroundKey.
var backgroundRequests sync.Map

// backgroundKey identifies a background request by its script and the name that begin gave it.
type backgroundKey struct {
	script *testscript.TestScript
	name   string
}

// begin NAME URL sends a GET in the background, and retries it while the status is 404 or 503.
func begin(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: begin name url")
	}
	statuses := make(chan string, 1)
	backgroundRequests.Store(backgroundKey{ts, args[0]}, statuses)
	go func() {
		status := "503"
		for end := time.Now().Add(waitTimeout); (status == "503" || status == "404") && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			var err error
			if status, _, err = get(args[1]); err != nil {
				status = "cut"
			}
		}
		statuses <- status
	}()
}

// end NAME STATUS waits for a request in the background and checks its status; the status "cut" means that the connection
// ended without an answer.
func end(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: end name status")
	}
	statuses, ok := backgroundRequests.Load(backgroundKey{ts, args[0]})
	if !ok {
		ts.Fatalf("no background request is named %s", args[0])
	}
	if status := <-statuses.(chan string); status != args[1] {
		ts.Fatalf("got status %s, want %s", status, args[1])
	}
}
