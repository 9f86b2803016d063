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
	// HeaderMode is the request header that selects the Mode of one request.
	HeaderMode = "Fake-Mode"
	// PathRunCounts serves RunCounts as JSON, also through an entry.
	PathRunCounts = "/ran"
	// PathHeld reports whether at least as many requests as its query says were held.
	PathHeld = "/fake/held"
	// PathRelease releases all held requests; it may be called only once.
	PathRelease = "/fake/free"
	// lateDelay is the delay of an answer in ModeLate.
	lateDelay = 300 * time.Millisecond
	// declaredSurplus is the number of bytes that a cut answer declares beyond those it sends.
	declaredSurplus = 10
)

// Mode selects the failure that a fake endpoint injects into a request; the zero value is invalid.
type Mode int

const (
	// ModeAnswer runs the request and answers.
	ModeAnswer Mode = iota + 1 // answer
	// ModeDieBefore reads the request and closes the connection without running it.
	ModeDieBefore // die_before
	// ModeDieAfter runs the request and closes the connection without an answer.
	ModeDieAfter // die_after
	// ModeDieAnswering runs the request and closes the connection within the answer's headers.
	ModeDieAnswering // die_answering
	// ModeCut runs the request and closes the connection within the answer's body.
	ModeCut // cut
	// ModeTooLong sends a body longer than its Content-Length.
	ModeTooLong // too_long
	// ModeUnbounded sends half of the body without a Content-Length.
	ModeUnbounded // unbounded
	// ModeCrossed answers with the identity of another attempt and request.
	ModeCrossed // crossed
	// ModeDecline declines the request without running it.
	ModeDecline // decline
	// ModeLate answers after lateDelay.
	ModeLate // late
	// ModeHold answers once PathRelease is called.
	ModeHold // hold
)

// ParseMode returns the mode with a name and whether there is one; the empty name is ModeAnswer.
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

// RunCounts counts the requests that a fake endpoint ran.
type RunCounts struct {
	// Attempts counts runs by attempt identity.
	Attempts map[string]int `json:"attempts"`
	// Keys counts runs by the caller's idempotency key; requests without a key are left out.
	Keys map[string]int `json:"keys"`
	// Requests counts runs by request identity.
	Requests map[string]int `json:"requests"`
	// Total counts all runs.
	Total int `json:"total"`
}

// Handler is the HTTP handler of a fake endpoint; it is safe for concurrent use.
type Handler struct {
	name     string
	mode     Mode
	clock    clock.Clock
	mu       sync.Mutex
	counts   RunCounts
	held     int
	released chan struct{}
}

// NewHandler returns a handler with all counts at zero; the mode applies to requests without a valid HeaderMode.
func NewHandler(name string, mode Mode, c clock.Clock) *Handler {
	return &Handler{name: name, mode: mode, clock: c, released: make(chan struct{}), counts: RunCounts{Attempts: map[string]int{}, Keys: map[string]int{}, Requests: map[string]int{}}}
}

// ServeHTTP runs a request in its mode, or serves one of the control paths of tests.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	mode, ok := ParseMode(r.Header.Get(HeaderMode))
	if !ok || r.Header.Get(HeaderMode) == "" {
		mode = h.mode
	}
	w.Header().Set(relay.HeaderAttempt, r.Header.Get(relay.HeaderAttempt))
	if h.serveControl(w, r) {
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
	h.countRun(r)
	if mode == ModeDieAfter {
		panic(http.ErrAbortHandler)
	}
	h.respond(w, r, mode, length)
}

// serveControl serves the control paths of tests, and reports whether the request was for one of them.
func (h *Handler) serveControl(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case PathRunCounts:
		h.writeCounts(w)
	case PathHeld:
		h.checkHeld(w, r)
	case PathRelease:
		close(h.released)
	default:
		return false
	}
	return true
}

// hold blocks until the held requests are released or the request's context ends.
func (h *Handler) hold(r *http.Request) {
	h.mu.Lock()
	h.held++
	h.mu.Unlock()
	select {
	case <-h.released:
	case <-r.Context().Done():
	}
}

// checkHeld answers 200 if at least as many requests were held as the query says, else 404.
func (h *Handler) checkHeld(w http.ResponseWriter, r *http.Request) {
	least, err := strconv.Atoi(r.URL.RawQuery)
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || h.held < least {
		w.WriteHeader(http.StatusNotFound)
	}
}

// respond writes the endpoint's name, the request line and the request's identity, with the failure of the mode.
func (h *Handler) respond(w http.ResponseWriter, r *http.Request, mode Mode, length int64) {
	attempt := r.Header.Get(relay.HeaderAttempt)
	request := r.Header.Get("Cowslip-Request")
	if mode == ModeCrossed {
		request = "another"
	}
	text := fmt.Sprintf("%s %s %s %d bytes %s\n", h.name, r.Method, r.URL.RequestURI(), length, request)
	declared := strconv.Itoa(len(text))
	switch mode {
	case ModeCrossed:
		w.Header().Set(relay.HeaderAttempt, "another")
	case ModeHold:
		h.hold(r)
	case ModeLate:
		clock.Sleep(r.Context(), h.clock, lateDelay)
	case ModeDieAnswering:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt)
		return
	case ModeCut:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt+": "+attempt+"\r\nContent-Length: "+strconv.Itoa(len(text)+declaredSurplus)+"\r\n\r\n"+text)
		return
	case ModeTooLong:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt+": "+attempt+"\r\nContent-Length: "+declared+"\r\n\r\n"+text+text)
		return
	case ModeUnbounded:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+relay.HeaderAttempt+": "+attempt+"\r\n\r\n"+text[:len(text)/2])
		return
	default:
	}
	w.Header().Set("Content-Length", declared)
	_, _ = io.WriteString(w, text)
}

// writeRaw hijacks the connection, writes the text to it and closes it.
func writeRaw(w http.ResponseWriter, text string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(c, text)
	_ = c.Close()
}

func (h *Handler) countRun(r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts.Total++
	h.counts.Attempts[r.Header.Get(relay.HeaderAttempt)]++
	h.counts.Requests[r.Header.Get("Cowslip-Request")]++
	if key := r.Header.Get(relay.HeaderKey); key != "" {
		h.counts.Keys[key]++
	}
}

// TotalRuns returns the number of requests that ran.
func (h *Handler) TotalRuns() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts.Total
}

// RequestRuns returns the number of runs of a request, by its identity.
func (h *Handler) RequestRuns(id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts.Requests[id]
}

// KeyRuns returns the number of runs with an idempotency key.
func (h *Handler) KeyRuns(key string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts.Keys[key]
}

func (h *Handler) writeCounts(w http.ResponseWriter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h.counts)
}
