package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/relay"
)

const (
	// HeaderMode names how the fake endpoint behaves for one request.
	HeaderMode = "Fake-Mode"
	// PathRan is where the counts are read, also through an entry.
	PathRan = "/ran"
	// PathHeld tells whether as many requests as its query says were held.
	PathHeld = "/fake/held"
	// PathFree answers all held requests; it is called once.
	PathFree = "/fake/free"
	// lateAfter is how long a late answer takes.
	lateAfter = 300 * time.Millisecond
	// declaredSurplus is how much more a cut answer declares than it holds.
	declaredSurplus = 10
)

// Mode is how a fake endpoint behaves; the zero value is not valid.
type Mode int

const (
	// ModeAnswer runs the request and answers.
	ModeAnswer Mode = iota + 1 // answer
	// ModeDieBefore reads the request and ends the connection before its work.
	ModeDieBefore // die_before
	// ModeDieAfter ends the connection after its work.
	ModeDieAfter // die_after
	// ModeDieAnswering ends the connection within the answer's headers.
	ModeDieAnswering // die_answering
	// ModeCut ends the connection within the answer's body.
	ModeCut // cut
	// ModeTooLong answers more than was declared.
	ModeTooLong // too_long
	// ModeUnbounded answers half without a length.
	ModeUnbounded // unbounded
	// ModeCrossed answers another attempt's request.
	ModeCrossed // crossed
	// ModeDecline declines the request before it begins.
	ModeDecline // decline
	// ModeLate answers after some time.
	ModeLate // late
	// ModeHold answers once the path for that was called.
	ModeHold // hold
)

// ParseMode returns the mode of a name; an empty one answers.
func ParseMode(name string) (Mode, bool) {
	if name == "" {
		return ModeAnswer, true
	}
	for m := ModeAnswer; m <= ModeHold; m++ {
		if m.String() == name {
			return m, true
		}
	}
	return 0, false
}

// Ran is what a fake endpoint ran.
type Ran struct {
	// Attempts counts what ran by attempt.
	Attempts map[string]int `json:"attempts"`
	// Keys counts what ran by the caller's key.
	Keys map[string]int `json:"keys"`
	// Requests counts what ran by the request's identity.
	Requests map[string]int `json:"requests"`
	// Total counts all that ran.
	Total int `json:"total"`
}

// Worker is the handler of a fake endpoint; it is safe for concurrent use.
type Worker struct {
	name  string
	mode  Mode
	clock clock.Clock
	mu    sync.Mutex
	ran   Ran
	held  int
	freed chan struct{}
}

// NewWorker returns a worker that has run nothing; requests without a mode of their own get the given one.
func NewWorker(name string, mode Mode, c clock.Clock) *Worker {
	return &Worker{name: name, mode: mode, clock: c, freed: make(chan struct{}), ran: Ran{Attempts: map[string]int{}, Keys: map[string]int{}, Requests: map[string]int{}}}
}

// ServeHTTP runs a request in its mode, or tells what ran.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, ok := ParseMode(r.Header.Get(HeaderMode))
	if !ok || r.Header.Get(HeaderMode) == "" {
		mode = k.mode
	}
	w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
	if k.tool(w, r) {
		return
	}
	if mode == ModeDecline {
		w.Header().Set(relay.HeaderDeclined, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	length, err := io.Copy(io.Discard, r.Body)
	if err != nil || mode == ModeDieBefore {
		panic(http.ErrAbortHandler)
	}
	k.count(r)
	if mode == ModeDieAfter {
		panic(http.ErrAbortHandler)
	}
	k.answer(w, r, mode, length)
}

// tool serves what tests ask the endpoint itself, and says whether it did.
func (k *Worker) tool(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case PathRan:
		k.tell(w)
	case PathHeld:
		k.tellHeld(w, r)
	case PathFree:
		close(k.freed)
	default:
		return false
	}
	return true
}

// hold waits until the held requests are freed.
func (k *Worker) hold(r *http.Request) {
	k.mu.Lock()
	k.held++
	k.mu.Unlock()
	select {
	case <-k.freed:
	case <-r.Context().Done():
	}
}

// tellHeld answers 200 where at least as many requests were held as the query says, else 404.
func (k *Worker) tellHeld(w http.ResponseWriter, r *http.Request) {
	least, err := strconv.Atoi(r.URL.RawQuery)
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil || k.held < least {
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer writes the name, the request and its identity, as far as the mode lets it.
func (k *Worker) answer(w http.ResponseWriter, r *http.Request, mode Mode, length int64) {
	attempt := r.Header.Get(relay.HeaderAttempt)
	request := r.Header.Get("Cowslip-Request")
	if mode == ModeCrossed {
		request = "another"
	}
	text := fmt.Sprintf("%s %s %s %d bytes %s\n", k.name, r.Method, r.URL.RequestURI(), length, request)
	declared := strconv.Itoa(len(text))
	switch mode {
	case ModeCrossed:
		w.Header().Set(relay.HeaderAttempt, "another")
	case ModeHold:
		k.hold(r)
	case ModeLate:
		timer := k.clock.NewTimer(lateAfter)
		defer timer.Stop()
		select {
		case <-timer.C():
		case <-r.Context().Done():
		}
	case ModeDieAnswering:
		raw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt)
		return
	case ModeCut:
		raw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt+": "+attempt+"\r\nContent-Length: "+strconv.Itoa(len(text)+declaredSurplus)+"\r\n\r\n"+text)
		return
	case ModeTooLong:
		raw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt+": "+attempt+"\r\nContent-Length: "+declared+"\r\n\r\n"+text+text)
		return
	case ModeUnbounded:
		raw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt+": "+attempt+"\r\n\r\n"+text[:len(text)/2])
		return
	default:
	}
	w.Header().Set("Content-Length", declared)
	_, _ = io.WriteString(w, text)
}

// raw writes bytes to the bare connection and ends it.
func raw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

func (k *Worker) count(r *http.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ran.Total++
	k.ran.Attempts[r.Header.Get(relay.HeaderAttempt)]++
	k.ran.Requests[r.Header.Get("Cowslip-Request")]++
	if key := r.Header.Get(relay.HeaderKey); key != "" {
		k.ran.Keys[key]++
	}
}

// Total returns how many requests ran.
func (k *Worker) Total() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ran.Total
}

// RanRequest returns how often a request ran.
func (k *Worker) RanRequest(id string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ran.Requests[id]
}

// RanKey returns how often a key ran.
func (k *Worker) RanKey(key string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.ran.Keys[key]
}

func (k *Worker) tell(w http.ResponseWriter) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(k.ran)
}
