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

// sending is one copy of a request as its caller sends it.
type sending struct {
	id     string
	method string
	key    string
	issued time.Time
	first  bool
	mode   string
	short  bool
	entry  int
}

// told is what the caller is told: the outcome, and the identity of the copy whose answer it got.
type told struct {
	outcome string
	answer  string
}

// send sends one copy; where the connection breaks, or the answer is cut, the caller knows nothing.
func (s *site) send(c sending) told {
	request, err := http.NewRequest(c.method, s.entries[c.entry].server.URL+"/"+serviceName+"/x", strings.NewReader("amount"))
	if err != nil {
		panic(err)
	}
	request.GetBody = nil
	request.Header.Set(front.HeaderRequest, c.id)
	request.Header.Set(fakes.HeaderMode, c.mode)
	if c.short {
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
		return told{outcome: "unknown"}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return told{outcome: "unknown"}
	}
	t := told{outcome: response.Header.Get(front.HeaderOutcome)}
	if t.outcome == "answered" {
		words := strings.Fields(string(body))
		if len(words) != 6 || !strings.HasSuffix(string(body), "\n") {
			return told{outcome: "answered", answer: fmt.Sprintf("not whole: %q", body)}
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

// TestOutcomes sends requests and resends in random order, with failures of endpoints, entries and
// claims, and checks what callers are told against what the endpoints ran.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		s := newSite(3, 3)
		defer s.close()
		history := &history{began: clock.System{}.Now()}
		for step := range rapid.IntRange(4, 16).Draw(r, "steps") {
			s.step(r, step, history)
		}
		s.client.CloseIdleConnections()
		history.check(r, s)
	})
}

// step draws one request with its copies and failures, and sends copies one after another or at once.
func (s *site) step(r *rapid.T, step int, h *history) {
	c := sending{method: rapid.SampledFrom([]string{"GET", "POST", "POST", "POST"}).Draw(r, "method"), issued: clock.System{}.Now()}
	copies := 1
	if c.method == "POST" && rapid.Bool().Draw(r, "keyed") {
		c.key, copies = fmt.Sprint("key-", step), rapid.IntRange(1, 4).Draw(r, "copies")
	}
	atOnce := rapid.Bool().Draw(r, "at_once")
	s.claims.inject(rapid.SliceOfN(rapid.SampledFrom(claimFaults), 0, 6).Draw(r, "claim_faults"))
	var sent sync.WaitGroup
	for n := range copies {
		c.id, c.first = fmt.Sprintf("step-%d-copy-%d", step, n), n == 0
		c.mode = rapid.SampledFrom(modes).Draw(r, "mode")
		c.short = c.mode == "late" && rapid.Bool().Draw(r, "short")
		c.entry = rapid.IntRange(0, len(s.entries)-1).Draw(r, "entry")
		fault := rapid.SampledFrom(entryFaults).Draw(r, "entry_fault")
		s.entries[c.entry].now.Load().fault.Store(&fault)
		began := h.now()
		one := c
		sent.Go(func() { h.add(one, s.send(one), began) })
		if !atOnce {
			sent.Wait()
			if rapid.IntRange(0, 3).Draw(r, "restart") == 0 {
				s.entries[c.entry].stop()
				s.entries[c.entry].start()
			}
			if rapid.Bool().Draw(r, "settle") {
				s.claims.settle()
			}
		}
	}
	sent.Wait()
}

// history is what callers were told.
type history struct {
	began time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) now() int64 {
	return clock.System{}.Now().Sub(h.began).Nanoseconds()
}

func (h *history) add(c sending, t told, began int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ended := h.now()
	if t.outcome == "unknown" {
		// It may run at any later time.
		ended = math.MaxInt64
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: len(h.ops), Input: c, Output: t, Call: began, Return: ended})
}

// check holds what callers were told against what the endpoints ran.
func (h *history) check(r *rapid.T, s *site) {
	for _, op := range h.ops {
		c, t := op.Input.(sending), op.Output.(told)
		ran := s.ran(func(w *fakes.Worker) int { return w.RanRequest(c.id) })
		if t.outcome == "not_run" && ran > 0 {
			r.Fatalf("%+v: told not_run, but ran %d times", c, ran)
		}
		if c.method != "GET" && ran > 1 {
			r.Fatalf("%+v: ran %d times", c, ran)
		}
		if c.key == "" && t.outcome == "answered" && (t.answer != c.id || ran == 0) {
			r.Fatalf("%+v: got the answer %q, ran %d times", c, t.answer, ran)
		}
		if c.key != "" {
			if keyRan := s.ran(func(w *fakes.Worker) int { return w.RanKey(c.key) }); keyRan > 1 {
				r.Fatalf("%+v: its key ran %d times", c, keyRan)
			}
		}
	}
	if n := s.slipped.Load(); n > 0 {
		r.Fatalf("%d attempts were sent after the lease had lapsed", n)
	}
	if !porcupine.CheckOperations(onceModel.ToModel(), h.ops) {
		r.Fatalf("no order of the copies of each key explains what callers were told: %+v", h.ops)
	}
}

// onceModel is a key that runs at most once: its state is the copy that ran, or empty.
var onceModel = porcupine.NondeterministicModel{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range all {
			if c := op.Input.(sending); c.key != "" {
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
		ran, c, t := before.(string), input.(sending), output.(told)
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
