package proxy

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/model/batch"
)

// ErrNotSent says that a call never reached the other process.
var ErrNotSent = errors.New("the call was not sent")

// Local is the control of this process.
type Local interface {
	// Do takes a call; its reply is not_run where this process doesn't lead.
	Do(ctx context.Context, c *batch.Call) (batch.Reply, error)
}

// Remote reaches other processes.
type Remote interface {
	// Do sends a call; it fails with ErrNotSent where the call never left.
	Do(ctx context.Context, address string, c *batch.Call) (batch.Reply, error)
}

// Leader is how the leader is reached.
type Leader struct {
	// Here says that this process leads.
	Here bool
	// Address is where it is reached, empty where none is known.
	Address string
	// Control is where workers and operators reach it, empty where none is known.
	Control string
	// Term is its term.
	Term uint64
}

// Guide tells who leads.
type Guide interface {
	// Leader returns what is known now.
	Leader() Leader
	// Lose tells that the leader of a term wasn't reached.
	Lose(term uint64)
}

// Options says what a proxy works with; all fields are needed.
type Options struct {
	// Local is the control of this process.
	Local Local
	// Remote reaches other processes.
	Remote Remote
	// Guide tells who leads.
	Guide Guide
	// Clock bounds waits.
	Clock clock.Clock
	// Logger takes what went wrong.
	Logger *zap.Logger
}

// Proxy takes calls to the leader; its methods are safe for concurrent use.
type Proxy struct {
	options Options
}

// New returns a proxy.
func New(o Options) *Proxy {
	return &Proxy{options: o}
}

const (
	// patience is how long a call is tried: within a quarter of the shortest SLO a caller is told to come back.
	patience = 850 * time.Millisecond
	// tryTime bounds one try.
	tryTime = 700 * time.Millisecond
	// pause spaces two tries.
	pause = 40 * time.Millisecond
	// largeBytes is the size from which a call is better made at the leader: an entry's narrow link would carry it twice.
	largeBytes = 32 << 10
)

// Elsewhere returns the control address at which a call that takes or gives so many bytes is better made, empty for here; a
// size below 0 isn't known.
func (d *Proxy) Elsewhere(bytes int64) string {
	l := d.options.Guide.Leader()
	if l.Here || bytes >= 0 && bytes < largeBytes {
		return ""
	}
	return l.Control
}

// Do takes a call to the leader; where it fails, the reply's code tells whether the call may have run.
func (d *Proxy) Do(ctx context.Context, c *batch.Call) batch.Reply {
	name, began := kind(c), d.options.Clock.Now()
	reply := d.do(ctx, c)
	hist.Observe("cowslip_call_seconds", hist.Labels{Class: name}, d.options.Clock.Now().Sub(began))
	metrics.GetOrCreateCounter(`cowslip_calls_total{call="` + name + `",code="` + reply.Code.String() + `"}`).Inc()
	return reply
}

func (d *Proxy) do(ctx context.Context, c *batch.Call) batch.Reply {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	worst := batch.Reply{Code: batch.CodeNotRun, Detail: "no leader is known"}
	for {
		reply, sent := d.try(ctx, c)
		if reply.Code != batch.CodeNotRun && reply.Code != batch.CodeUnknown {
			return reply
		}
		if sent && reply.Code == batch.CodeUnknown {
			worst = reply
			if c.Heartbeat != nil {
				// The same report again would be taken for an old one.
				return worst
			}
		} else if worst.Code == batch.CodeNotRun {
			worst = reply
		}
		if !clock.Sleep(ctx, d.options.Clock, pause) {
			d.options.Logger.Info("call_given_up", zap.Stringer("code", worst.Code), zap.String("cause", worst.Detail),
				zap.String("call", kind(c)), zap.String("subject", subject(c)), zap.Uint64("term", d.options.Guide.Leader().Term))
			return worst
		}
	}
}

// try makes one attempt; sent says whether the call may have run.
func (d *Proxy) try(ctx context.Context, c *batch.Call) (reply batch.Reply, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, tryTime)
	defer cancel()
	l := d.options.Guide.Leader()
	var err error
	switch {
	case l.Here:
		reply, err = d.options.Local.Do(ctx, c)
	case l.Address == "":
		return batch.Reply{Code: batch.CodeNotRun, Detail: "no leader is known"}, false
	default:
		reply, err = d.options.Remote.Do(ctx, l.Address, c)
	}
	switch {
	case err == nil && reply.Code == batch.CodeNotRun && !l.Here:
		// It doesn't lead, or can't confirm that it does: another one may by now.
		d.options.Guide.Lose(l.Term)
		return reply, false
	case err == nil:
		return reply, true
	case errors.Is(err, ErrNotSent):
		d.options.Guide.Lose(l.Term)
		return batch.Reply{Code: batch.CodeNotRun, Detail: err.Error()}, false
	default:
		return batch.Reply{Code: batch.CodeUnknown, Detail: err.Error()}, true
	}
}

// kind names a call, for metrics and the log.
func kind(c *batch.Call) string {
	switch {
	case c.Submit != nil:
		return "submit"
	case c.Cancel != nil:
		return "cancel"
	case c.JobState != nil:
		return "state"
	case c.Pending != nil:
		return "pending"
	case c.Heartbeat != nil:
		return "heartbeat"
	case c.Deregister != nil:
		return "leave"
	case c.Configure != nil:
		return "configure"
	case c.ReadConfiguration:
		return "read_configuration"
	case c.StartWave != nil:
		return "start_wave"
	case c.Inspect != nil:
		return "inspect"
	default:
		return "wave_state"
	}
}

// subject is whom a call is about, for the log.
func subject(c *batch.Call) string {
	switch {
	case c.Submit != nil:
		return c.Submit.Path
	case c.Heartbeat != nil:
		return c.Heartbeat.Worker
	case c.Deregister != nil:
		return c.Deregister.Worker
	case c.Inspect != nil:
		return c.Inspect.Job
	}
	for _, l := range []*batch.RequestTarget{c.Cancel, c.JobState, c.Pending} {
		if l != nil {
			return l.Path
		}
	}
	return ""
}
