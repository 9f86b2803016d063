package script_test

import (
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// until REGEXP PROGRAM ARGS... runs a program repeatedly until its output matches.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until regexp program [args...]")
	}
	pattern := regexp.MustCompile("(?m)" + args[0])
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err := ts.Exec(args[1], args[2:]...); err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("no output matched %s", args[0])
}

// backgroundLoad is a running load: requests that callers send while the script goes on.
type backgroundLoad struct {
	stop     chan struct{}
	done     sync.WaitGroup
	mu       sync.Mutex
	outcomes map[string]int
	// pages holds the latest answer by outcome.
	pages map[string]string
}

// loadCallers is the number of concurrent callers of a load.
const loadCallers = 4

// load URL starts callers that each send one request after another until unload.
func load(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: load url")
	}
	l := &backgroundLoad{stop: make(chan struct{}), outcomes: map[string]int{}, pages: map[string]string{}}
	loads.Store(ts.Getenv("WORK"), l)
	for range loadCallers {
		l.done.Add(1)
		go l.call(args[0])
	}
	ts.Defer(l.end)
}

// unload OUTCOME ends the load and fails unless it had at least one request and each had the outcome.
func unload(ts *testscript.TestScript, neg bool, args []string) {
	found, ok := loads.Load(ts.Getenv("WORK"))
	if neg || len(args) != 1 || !ok {
		ts.Fatalf("usage: unload outcome, after load")
	}
	l := found.(*backgroundLoad)
	l.end()
	ts.Logf("outcomes: %v", l.outcomes)
	if len(l.outcomes) != 1 || l.outcomes[args[0]] == 0 {
		ts.Fatalf("got outcomes %v, want only %s; latest answer of each: %q", l.outcomes, args[0], l.pages)
	}
}

// loads holds the running load of each script by its work folder.
var loads sync.Map

// end stops the callers and waits for them; it may be called more than once.
func (l *backgroundLoad) end() {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	l.done.Wait()
	l.mu.Lock()
}

// call sends requests until the load ends and counts their outcomes; a broken connection counts as "cut".
func (l *backgroundLoad) call(url string) {
	defer l.done.Done()
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		outcome := "cut"
		_, page, err := get(url)
		if err == nil {
			for _, line := range strings.Split(string(page), "\n") {
				if value, ok := strings.CutPrefix(line, http.CanonicalHeaderKey("Cowslip-Outcome")+": "); ok {
					outcome = value
				}
			}
		}
		l.mu.Lock()
		l.outcomes[outcome]++
		l.pages[outcome] = string(page)
		l.mu.Unlock()
	}
}
