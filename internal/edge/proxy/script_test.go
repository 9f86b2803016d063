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

// fakeControl answers tries with the outcomes of a script, the last one again and again.
type fakeControl struct {
	outcomes []string
	tries    []string
	lost     []uint64
	leader   proxy.Leader
}

func (f *fakeControl) try(where string) (batch.Reply, error) {
	f.tries = append(f.tries, where)
	outcome := f.outcomes[0]
	if len(f.outcomes) > 1 {
		f.outcomes = f.outcomes[1:]
	}
	switch outcome {
	case "ok":
		return batch.Reply{Code: batch.CodeOK}, nil
	case "not_leading":
		return batch.Reply{Code: batch.CodeNotRun, Detail: "this process does not lead"}, nil
	case "not_sent":
		return batch.Reply{}, errors.Mark(errors.New("no connection"), proxy.ErrNotSent)
	default:
		return batch.Reply{}, errors.New("no answer")
	}
}

func (f *fakeControl) Leader() proxy.Leader { return f.leader }
func (f *fakeControl) Lose(term uint64)     { f.lost = append(f.lost, term) }

// local and remote are the two ways to the same control.
type (
	local  struct{ *fakeControl }
	remote struct{ *fakeControl }
)

func (l local) Do(context.Context, *batch.Call) (batch.Reply, error) { return l.try("here") }

func (r remote) Do(_ context.Context, address string, _ *batch.Call) (batch.Reply, error) {
	return r.try(address)
}

// calls are the calls that scripts make.
var calls = map[string]*batch.Call{
	"submit":    {Submit: &batch.Submission{Path: "/q/1"}},
	"heartbeat": {Heartbeat: &batch.Heartbeat{Worker: "w"}},
}

// TestScripts makes the calls under testdata, "call submit outcomes=(not_sent,ok)", and shows the reply and each try.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := &fakeControl{}
		d := proxy.New(proxy.Options{Local: local{f}, Remote: remote{f}, Guide: f, Clock: clock.System{}, Logger: zap.NewNop()})
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			switch data.Cmd {
			case "leader":
				f.leader = proxy.Leader{}
				for _, a := range data.CmdArgs {
					switch a.Key {
					case "here":
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
			case "elsewhere":
				bytes, err := strconv.ParseInt(data.CmdArgs[0].Key, 10, 64)
				if err != nil {
					t.Fatal(err)
				}
				return fmt.Sprintf("%q\n", d.Elsewhere(bytes))
			}
			for _, a := range data.CmdArgs {
				if a.Key == "outcomes" {
					f.outcomes = a.Vals
				}
			}
			f.tries, f.lost = nil, nil
			reply := d.Do(t.Context(), calls[data.CmdArgs[0].Key])
			return fmt.Sprintf("%s %s\ntries %s\nlost %v\n", reply.Code, reply.Detail, several(f.tries), f.lost[:min(1, len(f.lost))])
		})
	})
}

// several shows a few tries, and says where there were many.
func several(tries []string) string {
	const few = 3
	if len(tries) > few {
		return strings.Join(tries[:few], " ") + " and more"
	}
	return strings.Join(tries, " ")
}
