package proof_test

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"cowslipstack/internal/app/fakes"
	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/front"
)

// requestCopy is one sending of a request by its caller; copies with the same key are resends. The mode is the fault of
// the fake endpoint that runs it, empty for none.
type requestCopy struct {
	id            string
	method        string
	key           string
	issued        time.Time
	first         bool
	mode          string
	shortDeadline bool
	entry         int
}

// callerResult is what a caller observes: the outcome, and the identity of the copy whose answer it received.
type callerResult struct {
	outcome string
	answer  string
}

// send sends one copy; the outcome is unknown if the connection breaks or the answer is truncated.
func (s *system) send(c requestCopy) callerResult {
	request, err := http.NewRequest(c.method, s.entries[c.entry].server.URL+"/"+serviceName+"/x", strings.NewReader("amount"))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Header.Set(front.HeaderRequest, c.id)
	request.Header.Set(fakes.HeaderMode, c.mode)
	if c.shortDeadline {
		request.Header.Set(front.HeaderDeadline, "40")
	}
	if c.key != "" {
		request.Header.Set(front.HeaderKey, c.key)
		request.Header.Set(front.HeaderKeyIssued, fmt.Sprint(c.issued.UnixMilli()))
		if c.first {
			request.Header.Set(front.HeaderSending, "1")
		}
	}
	response, err := s.client.Transport.RoundTrip(request)
	if err != nil {
		return callerResult{outcome: "unknown"}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return callerResult{outcome: "unknown"}
	}
	t := callerResult{outcome: response.Header.Get(front.HeaderOutcome)}
	if t.outcome == "answered" {
		words := strings.Fields(string(body))
		if len(words) != 6 || !strings.HasSuffix(string(body), "\n") {
			return callerResult{outcome: "answered", answer: fmt.Sprintf("truncated: %q", body)}
		}
		t.answer = words[5]
	}
	return t
}

var (
	modes       = []string{"", "", "", "die_before", "die_after", "die_answering", "cut", "too_long", "unbounded", "crossed", "decline", "late"}
	claimFaults = []string{"", "", "", "no_quorum", "late", "lost", "twice", "die"}
	entryFaults = []string{"", "", "", "die_before", "die_after", "freeze", "freeze_long"}
)

// TestOutcomes sends requests and resends in random order while endpoints, entries and claims fail, and checks the
// outcomes that callers receive against what the endpoints ran.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSystem(3, 3)
		defer s.close()
		history := &history{start: clock.System{}.Now()}
		for step := range rapid.IntRange(4, 16).Draw(r, "steps") {
			s.step(r, step, history)
		}
		s.client.CloseIdleConnections()
		history.check(r, s)
	})
}

// step draws one request with its copies and faults, and sends the copies one after another or concurrently.
func (s *system) step(r *rapid.T, step int, h *history) {
	c := requestCopy{method: rapid.SampledFrom([]string{"GET", "POST", "POST", "POST"}).Draw(r, "method"), issued: clock.System{}.Now()}
	copies := 1
	if c.method == "POST" && rapid.Bool().Draw(r, "keyed") {
		c.key, copies = fmt.Sprint("key-", step), rapid.IntRange(1, 4).Draw(r, "copies")
	}
	atOnce := rapid.Bool().Draw(r, "at_once")
	s.claims.inject(rapid.SliceOfN(rapid.SampledFrom(claimFaults), 0, 6).Draw(r, "claim_faults"))
	var sends sync.WaitGroup
	for n := range copies {
		c.id, c.first = fmt.Sprintf("step-%d-copy-%d", step, n), n == 0
		c.mode = rapid.SampledFrom(modes).Draw(r, "mode")
		c.shortDeadline = c.mode == "late" && rapid.Bool().Draw(r, "short")
		c.entry = rapid.IntRange(0, len(s.entries)-1).Draw(r, "entry")
		fault := rapid.SampledFrom(entryFaults).Draw(r, "entry_fault")
		s.entries[c.entry].current.Load().fault.Store(&fault)
		start := h.now()
		current := c
		sends.Go(func() { h.add(current, s.send(current), start) })
		if !atOnce {
			sends.Wait()
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				s.entries[c.entry].stop()
				s.entries[c.entry].start()
			}
			if rapid.Bool().Draw(r, "settle") {
				s.claims.applyDelayed()
			}
		}
	}
	sends.Wait()
}

// history records each request and its result, with times relative to start.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

// now returns the nanoseconds since the start of the history.
func (h *history) now() int64 {
	return clock.System{}.Now().Sub(h.start).Nanoseconds()
}

func (h *history) add(c requestCopy, t callerResult, call int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	returned := h.now()
	if t.outcome == "unknown" {
		// The request may still run at any later time.
		returned = math.MaxInt64
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: c, Output: t, Call: call, Return: returned})
}

// check compares the recorded outcomes with what the endpoints ran. It fails if a request other than a GET, or a key, ran
// more than once; if a request ran although its outcome is not_run; if a request without a key got an answer that is not
// its own; if an attempt was sent without a lease; or if no sequential order of a key's copies explains the outcomes.
func (h *history) check(r *rapid.T, s *system) {
	for _, op := range h.ops {
		c, t := op.Input.(requestCopy), op.Output.(callerResult)
		ran := s.executions(func(f *fakes.Handler) int { return f.RequestRuns(c.id) })
		if t.outcome == "not_run" && ran > 0 {
			r.Fatalf("%+v: the outcome is not_run, but it ran %d times", c, ran)
		}
		if c.method != "GET" && ran > 1 {
			r.Fatalf("%+v: ran %d times", c, ran)
		}
		if c.key == "" && t.outcome == "answered" && (t.answer != c.id || ran == 0) {
			r.Fatalf("%+v: got the answer %q, ran %d times", c, t.answer, ran)
		}
		if c.key != "" {
			if keyRan := s.executions(func(f *fakes.Handler) int { return f.KeyRuns(c.key) }); keyRan > 1 {
				r.Fatalf("%+v: its key ran %d times", c, keyRan)
			}
		}
	}
	if n := s.sentWithoutLease.Load(); n > 0 {
		r.Fatalf("%d attempts were sent after the lease had lapsed", n)
	}
	if !porcupine.CheckOperations(atMostOnceModel.ToModel(), h.ops) {
		r.Fatalf("no order of the copies of each key explains the outcomes: %+v", h.ops)
	}
}

// atMostOnceModel is the sequential specification of a key that runs at most once. Its state is the identity of the copy
// that ran, or empty; a copy with an unknown outcome may or may not have run.
var atMostOnceModel = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			if c := op.Input.(requestCopy); c.key != "" {
				byKey[c.key] = append(byKey[c.key], op)
			}
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() []any { return []any{""} },
	Step: func(before, input, output any) []any {
		ran, c, t := before.(string), input.(requestCopy), output.(callerResult)
		switch {
		case t.outcome == "unknown" && ran == "":
			return []any{"", c.id}
		case t.outcome == "unknown":
			return []any{ran}
		case t.outcome == "not_run" && ran == "":
			return []any{""}
		case t.outcome == "answered" && (t.answer == ran || ran == "" && t.answer == c.id):
			return []any{t.answer}
		}
		return nil
	},
}
