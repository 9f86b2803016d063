package proxy_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"testing"

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
}

func (f *fakeControl) attempt(ctx context.Context, where string) (batch.Reply, error) {
	f.attempts = append(f.attempts, where)
	outcome := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	switch outcome {
	case "ok":
		return batch.Reply{Code: batch.CodeOK}, nil
	case "not_leading":
		return batch.Reply{Code: batch.CodeNotRun, Detail: "this process does not lead"}, nil
	case "overloaded":
		return batch.Reply{Code: batch.CodeOverloaded, Detail: "the leader is behind"}, nil
	case "not_sent":
		return batch.Reply{}, errors.Mark(errors.New("no connection"), proxy.ErrNotSent)
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
	"heartbeat": {Heartbeat: &batch.Heartbeat{Worker: "w"}},
	"pending":   {Pending: &batch.RequestTarget{Path: "/q/"}},
}

// TestScripts makes the calls in testdata, such as "call submit outcomes=(not_sent,ok)", and prints the reply and the
// address of each attempt.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &fakeControl{supersede: func() {}}
		p := proxy.New(proxy.Options{Local: local{f}, Remote: remote{f}, Tracker: f, Clock: clock.System{}, Logger: zap.NewNop()})
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
			for _, a := range d.CmdArgs {
				if a.Key == "outcomes" {
					f.outcomes = a.Vals
				}
			}
			f.attempts, f.lost = nil, nil
			reply := p.Do(t.Context(), calls[d.CmdArgs[0].Key])
			return fmt.Sprintf("%s %s\ntries %s\nlost %v\n", reply.Code, reply.Detail, summarise(f.attempts), f.lost[:min(1, len(f.lost))])
		})
	})
}

// summarise returns the first attempts, followed by "and more" if there were more than a few.
func summarise(attempts []string) string {
	const few = 3
	if len(attempts) > few {
		return strings.Join(attempts[:few], " ") + " and more"
	}
	return strings.Join(attempts, " ")
}
