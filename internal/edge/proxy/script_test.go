package proxy_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/proxy"
	"cowslipstack/internal/model/batch"
)

// fakeControl answers attempts with scripted outcomes and repeats the last one.
type fakeControl struct {
	outcomes []string
	attempts []string
	lost     []uint64
	leader   proxy.Leader
	// supersede ends the wait of the present attempt.
	supersede func()
	// silentUntil is when calls are first answered with ok; then is the outcome of all attempts before that but the first.
	silentUntil time.Time
	then        string
	// goneAfter is the number of attempts after which the caller has closed its connection; negative if it stays.
	goneAfter int
}

// CallerGone reports whether the caller has closed its connection.
func (f *fakeControl) CallerGone(context.Context) bool {
	return f.goneAfter >= 0 && len(f.attempts) >= f.goneAfter
}

func (f *fakeControl) attempt(ctx context.Context, where string) (batch.Reply, error) {
	f.attempts = append(f.attempts, where)
	switch outcome := f.nextOutcome(); outcome {
	case "ok":
		return batch.Reply{Code: batch.CodeOK}, nil
	case "not_leading":
		return batch.Reply{Code: batch.CodeNotRun, Detail: "this process does not lead"}, nil
	case "overloaded":
		return batch.Reply{Code: batch.CodeOverloaded, Detail: "the leader is behind"}, nil
	case "not_found":
		return batch.Reply{Code: batch.CodeNotFound, Detail: "no queue has this host and path"}, nil
	case "invalid":
		return batch.Reply{Code: batch.CodeInvalid, Detail: "the job has no steps"}, nil
	case "unauthorized":
		return batch.Reply{Code: batch.CodeUnauthorized, Detail: "the call needs a key"}, nil
	case "gone":
		return batch.Reply{Code: batch.CodeGone, Detail: "no such job"}, nil
	case "running":
		return batch.Reply{Code: batch.CodeOK, Detail: "the job runs", Phase: batch.PhaseRunning}, nil
	case "refused":
		return batch.Reply{Code: batch.CodeRefused, Detail: "the job can't be in time"}, nil
	case "not_sent":
		return batch.Reply{}, errors.Mark(errors.New("no connection"), proxy.ErrNotSent)
	case "superseded_unsent":
		f.leader.Term++
		f.supersede()
		return batch.Reply{}, errors.Mark(errors.New("given up before it was sent"), proxy.ErrNotSent)
	case "superseded":
		f.leader.Term++
		f.supersede()
		if errors.Is(ctx.Err(), context.Canceled) {
			return batch.Reply{}, errors.New("given up for another leader")
		}
		return batch.Reply{Code: batch.CodeOK, Detail: "answered by a former leader"}, nil
	default:
		return batch.Reply{}, errors.New("no answer")
	}
}

func (f *fakeControl) nextOutcome() string {
	if !f.silentUntil.IsZero() {
		switch {
		case time.Now().After(f.silentUntil):
			return "ok"
		case len(f.attempts) > 1 && f.then != "":
			return f.then
		}
		return "no_answer"
	}
	outcome := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	return outcome
}

func (f *fakeControl) Leader() proxy.Leader   { return f.leader }
func (f *fakeControl) ReportLost(term uint64) { f.lost = append(f.lost, term) }
func (f *fakeControl) OnSuperseded(_ uint64, stop func()) func() bool {
	f.supersede = stop
	return func() bool { f.supersede = func() {}; return true }
}

// local and remote make the same fakeControl reachable in process and by address.
type (
	local  struct{ *fakeControl }
	remote struct{ *fakeControl }
)

func (l local) Do(ctx context.Context, _ *batch.Call) (batch.Reply, error) {
	return l.attempt(ctx, "local")
}

func (r remote) Do(ctx context.Context, address string, _ *batch.Call) (batch.Reply, error) {
	return r.attempt(ctx, address)
}

// calls maps the names in scripts to calls.
var calls = map[string]*batch.Call{
	"submit":    {Submit: &batch.Submission{Path: "/q/1"}},
	"cancel":    {Cancel: &batch.RequestTarget{Path: "/q/1"}},
	"heartbeat": {Heartbeat: &batch.Heartbeat{Worker: "w"}},
	"pending":   {Pending: &batch.RequestTarget{Path: "/q/"}},
}

// TestScripts makes the calls in testdata, such as "call submit outcomes=(not_sent,ok)", and prints the reply and the
// address of each attempt.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &fakeControl{supersede: func() {}}
		p := proxy.New(proxy.Options{Local: local{f}, Remote: remote{f}, Tracker: f, Callers: f, Clock: clock.System{}, Logger: zap.NewNop()})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "leader":
				f.leader = proxy.Leader{}
				for _, a := range d.CmdArgs {
					switch a.Key {
					case "local":
						f.leader.Here = true
					case "address":
						f.leader.Address = a.Vals[0]
					case "control":
						f.leader.Control = a.Vals[0]
					case "term":
						f.leader.Term, _ = strconv.ParseUint(a.Vals[0], 10, 64)
					}
				}
				return "ok\n"
			case "redirect-address":
				bytes, err := strconv.ParseInt(d.CmdArgs[0].Key, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				return fmt.Sprintf("%q\n", p.RedirectAddress(bytes))
			}
			return f.call(t, p, d)
		})
	})
}

// usualLimit is longer than a call that has not run is tried.
const usualLimit = time.Second

// call makes a call and prints its reply, and whether it came after the usual limit or before the caller's deadline.
func (f *fakeControl) call(t *testing.T, p *proxy.Proxy, d *datadriven.TestData) string {
	t.Helper()
	ctx, began := t.Context(), time.Now()
	f.attempts, f.lost, f.silentUntil, f.then, f.goneAfter = nil, nil, time.Time{}, "", -1
	var deadline time.Duration
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "outcomes":
			f.outcomes = a.Vals
		case "gone_after":
			f.goneAfter, _ = strconv.Atoi(a.Vals[0])
		case "then":
			f.then = a.Vals[0]
		case "silent_ms":
			f.silentUntil = began.Add(parseMs(t, a.Vals[0]))
		case "deadline_ms":
			deadline = parseMs(t, a.Vals[0])
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, deadline)
			defer cancel()
		}
	}
	reply := p.Do(ctx, calls[d.CmdArgs[0].Key])
	took, when := time.Since(began), ""
	switch {
	case reply.Code == batch.CodeOK && took > usualLimit:
		when = "after the usual limit"
	case reply.Code != batch.CodeOK && deadline > 0 && took < min(deadline, usualLimit):
		when = ", before the deadline"
	}
	return fmt.Sprintf("%s %s%s\ntries %s\nlost %v\n", reply.Code, reply.Detail, when, summarise(f.attempts), f.lost[:min(1, len(f.lost))])
}

func parseMs(t *testing.T, text string) time.Duration {
	t.Helper()
	ms, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(ms) * time.Millisecond
}

// summarise returns the first attempts, followed by "and more" if there were more than a few.
func summarise(attempts []string) string {
	const few = 3
	if len(attempts) > few {
		return strings.Join(attempts[:few], " ") + " and more"
	}
	return strings.Join(attempts, " ")
}
