package script_test

import (
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// until REGEXP PROGRAM ARGS... runs a program until its output matches.
func until(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: until regexp program [args...]")
	}
	pattern := regexp.MustCompile("(?m)" + args[0])
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if err := ts.Exec(args[1], args[2:]...); err == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("no output matched %s", args[0])
}

// loading is the requests that run beside a script.
type loading struct {
	stop     chan struct{}
	done     sync.WaitGroup
	mu       sync.Mutex
	outcomes map[string]int
	// pages holds the latest answer of each outcome.
	pages map[string]string
}

// callers is how many callers a load has.
const callers = 4

// load URL sends requests, one after another by each of some callers, until unload.
func load(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: load url")
	}
	l := &loading{stop: make(chan struct{}), outcomes: map[string]int{}, pages: map[string]string{}}
	loads.Store(ts.Getenv("WORK"), l)
	for range callers {
		l.done.Add(1)
		go l.call(args[0])
	}
	ts.Defer(l.end)
}

// unload OUTCOME ends the load and wants each of its requests, and at least one, to have had the outcome.
func unload(ts *testscript.TestScript, neg bool, args []string) {
	found, ok := loads.Load(ts.Getenv("WORK"))
	if neg || len(args) != 1 || !ok {
		ts.Fatalf("usage: unload outcome, after load")
	}
	l := found.(*loading)
	l.end()
	ts.Logf("outcomes: %v", l.outcomes)
	if len(l.outcomes) != 1 || l.outcomes[args[0]] == 0 {
		ts.Fatalf("outcomes %v, not all %s; the latest of each: %q", l.outcomes, args[0], l.pages)
	}
}

// loads are the loads by the scripts' folders.
var loads sync.Map

func (l *loading) end() {
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

func (l *loading) call(url string) {
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
