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

// ErrNotSent means that a call never reached the other process.
var ErrNotSent = errors.New("the call was not sent")

// Local executes calls in this process.
type Local interface {
	// Do executes a call; its reply is not_run if this process doesn't lead.
	Do(ctx context.Context, c *batch.Call) (batch.Reply, error)
}

// Remote sends calls to other processes.
type Remote interface {
	// Do sends a call to the process at an address; it returns ErrNotSent if the call was never sent.
	Do(ctx context.Context, address string, c *batch.Call) (batch.Reply, error)
}

// Leader is the known leader and its addresses; the zero value means that no leader is known.
type Leader struct {
	// Here means that this process leads.
	Here bool
	// Address is where other processes reach the leader, empty if not known.
	Address string
	// Control is where workers and operators reach the leader, empty if not known.
	Control string
	// Term is the leader's election term.
	Term uint64
}

// LeaderTracker tracks the current leader.
type LeaderTracker interface {
	// Leader returns the leader as known now.
	Leader() Leader
	// ReportLost reports that the leader of a term could not be reached or no longer leads.
	ReportLost(term uint64)
	// OnSuperseded calls f once another leader can be reached than that of a term; stop ends the wait.
	OnSuperseded(term uint64, f func()) (stop func() bool)
}

// Callers tells of the callers that wait for this process's answers.
type Callers interface {
	// CallerGone reports whether the caller of a call has closed its connection, by the call's context.
	CallerGone(ctx context.Context) bool
}

// Options configures a Proxy; all fields are required.
type Options struct {
	// Local executes calls in this process.
	Local Local
	// Remote sends calls to other processes.
	Remote Remote
	// Tracker tracks the current leader.
	Tracker LeaderTracker
	// Callers tells whether callers still wait.
	Callers Callers
	// Clock measures the waits between attempts and the duration of calls.
	Clock clock.Clock
	// Logger receives the calls that failed.
	Logger *zap.Logger
}

// Proxy forwards calls to the leader; its methods are safe for concurrent use.
type Proxy struct {
	options Options
}

// New returns a proxy; it starts no goroutine.
func New(o Options) *Proxy {
	return &Proxy{options: o}
}

const (
	// callTimeout limits a call that has certainly not run, with all its attempts: a caller is told to retry within a
	// quarter of the shortest SLO.
	callTimeout    = 850 * time.Millisecond
	attemptTimeout = 700 * time.Millisecond
	// settleMargin is the part of a caller's deadline that is kept for sending the answer to a call that may have run.
	settleMargin = 150 * time.Millisecond
	// retryInterval is the time between two attempts.
	retryInterval = 40 * time.Millisecond
	// settleInterval is the time between two attempts at a call that may have run: a leader that is behind is asked less.
	settleInterval = 100 * time.Millisecond
	// redirectBytes is the size from which a call is redirected to the leader: forwarding it would use an entry's
	// narrow link twice.
	redirectBytes = 32 << 10
)

// logPassedOn logs which process answered a read of the configuration.
func (p *Proxy) logPassedOn(c *batch.Call, l Leader, reply batch.Reply, err error) {
	if !c.ReadConfiguration {
		return
	}
	p.options.Logger.Info("configuration_read_passed_on", zap.String("to", l.Address), zap.Uint64("term", l.Term),
		zap.Stringer("code", reply.Code), zap.Error(err))
}

// RedirectAddress returns the leader's control address for a call with a request or response of so many bytes that it
// should be redirected there, and an empty string if the call should be made here. A negative size means that it isn't
// known.
func (p *Proxy) RedirectAddress(bytes int64) string {
	l := p.options.Tracker.Leader()
	if l.Here || bytes >= 0 && bytes < redirectBytes {
		return ""
	}
	return l.Control
}

// Do forwards a call to the leader and retries it. If it fails, the reply's code is not_run or unknown; unknown means
// that the call may have run.
func (p *Proxy) Do(ctx context.Context, c *batch.Call) batch.Reply {
	name, began := kind(c), p.options.Clock.Now()
	var reply batch.Reply
	if cause := p.whyUnwanted(ctx, c); cause != "" {
		reply = p.giveUp(c, batch.Reply{Code: batch.CodeNotRun, Detail: cause})
	} else {
		reply = p.do(ctx, c)
	}
	hist.Observe("cowslip_call_seconds", hist.Labels{Class: name}, p.options.Clock.Now().Sub(began))
	metrics.GetOrCreateCounter(hist.Series("cowslip_calls_total", hist.Label{Name: "call", Value: name},
		hist.Label{Name: "code", Value: reply.Code.String()})).Inc()
	return reply
}

func (p *Proxy) do(caller context.Context, c *batch.Call) batch.Reply {
	ctx, cancel := context.WithTimeout(caller, callTimeout)
	defer func() { cancel() }()
	interval, worst := retryInterval, batch.Reply{Code: batch.CodeNotRun, Detail: "no leader is known"}
	for {
		reply, sent := p.attempt(ctx, c)
		mayHaveRun := worst.Code == batch.CodeUnknown
		if mayHaveRun {
			reply = p.settle(ctx, c, reply)
		}
		switch {
		case sent && reply.Code == batch.CodeUnknown:
			if c.Heartbeat != nil {
				// A repeated heartbeat would be rejected as an old one.
				return reply
			}
			worst = reply
			if !mayHaveRun {
				cancel()
				ctx, cancel = settleContext(caller)
				interval = settleInterval
			}
		case reply.Code == batch.CodeNotRun || reply.Code == batch.CodeUnknown || mayHaveRun && refuses(reply.Code):
			// What refuses this attempt says nothing about an earlier one that may have run.
			if !mayHaveRun {
				worst = reply
			}
		default:
			return reply
		}
		if !clock.Sleep(ctx, p.options.Clock, interval) || p.whyUnwanted(caller, c) != "" {
			return p.giveUp(c, worst)
		}
	}
}

// whyUnwanted returns why a submission is passed on no more, empty if it is: a caller that doesn't wait for its answer may have
// cancelled it elsewhere. Other calls are worth making though their callers are gone.
func (p *Proxy) whyUnwanted(caller context.Context, c *batch.Call) string {
	switch {
	case c.Submit == nil:
		return ""
	case caller.Err() != nil:
		return "the caller's deadline has passed, or the caller is gone"
	case p.options.Callers.CallerGone(caller):
		return "the caller has closed its connection"
	default:
		return ""
	}
}

func (p *Proxy) giveUp(c *batch.Call, worst batch.Reply) batch.Reply {
	p.options.Logger.Info("call_given_up", zap.Stringer("code", worst.Code), zap.String("cause", worst.Detail),
		zap.String("call", kind(c)), zap.String("subject", subject(c)), zap.Uint64("term", p.options.Tracker.Leader().Term))
	return worst
}

// settle returns the reply to a call of which an earlier attempt may have run; a key that is refused by now doesn't tell that none
// has. A submission that is refused for good by now, such
// as since its queue was removed, was accepted if the leader holds the job; its outcome is unknown if that can't be told.
func (p *Proxy) settle(ctx context.Context, c *batch.Call, reply batch.Reply) batch.Reply {
	if (c.Submit != nil || c.Cancel != nil) && reply.Code == batch.CodeUnauthorized {
		// The key may have been withdrawn since, and the state of the job can't be asked for with it.
		return batch.Reply{Code: batch.CodeUnknown, Detail: reply.Detail}
	}
	if c.Submit == nil || reply.Code != batch.CodeNotFound && reply.Code != batch.CodeInvalid {
		return reply
	}
	state, _ := p.attempt(ctx, &batch.Call{
		Credential: c.Credential, JobState: &batch.RequestTarget{Host: c.Submit.Host, Path: c.Submit.Path},
	})
	p.options.Logger.Info("submission_settled", zap.String("subject", subject(c)), zap.Stringer("refusal", reply.Code),
		zap.String("cause", reply.Detail), zap.Stringer("state", state.Code), zap.Uint64("term", p.options.Tracker.Leader().Term))
	switch state.Code {
	case batch.CodeOK:
		return state
	case batch.CodeGone:
		return reply
	default:
		return batch.Reply{Code: batch.CodeUnknown, Detail: state.Detail}
	}
}

// settleContext bounds the attempts at a call that may have run. Only asking again can tell its outcome, so it is asked
// until the caller stops waiting; without a deadline the caller may be gone soon after callTimeout.
func settleContext(caller context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := caller.Deadline(); ok {
		return context.WithDeadline(caller, deadline.Add(-settleMargin))
	}
	return context.WithTimeout(caller, callTimeout)
}

// refuses reports whether a code means that an attempt was refused and has not run.
func refuses(code batch.Code) bool {
	return code == batch.CodeOverloaded || code == batch.CodeRefused
}

// attempt makes one attempt. If sent is false, the call has certainly not run: no leader is known, the call was not
// sent, or another process replied that it did not run it.
func (p *Proxy) attempt(ctx context.Context, c *batch.Call) (reply batch.Reply, sent bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	l := p.options.Tracker.Leader()
	if c.Heartbeat == nil {
		// An answer of a former leader can't be relied on, and the caller waits for the present one.
		defer p.options.Tracker.OnSuperseded(l.Term, cancel)()
	}
	var err error
	switch {
	case l.Here:
		reply, err = p.options.Local.Do(ctx, c)
	case l.Address == "":
		return batch.Reply{Code: batch.CodeNotRun, Detail: "no leader is known"}, false
	default:
		reply, err = p.options.Remote.Do(ctx, l.Address, c)
		p.logPassedOn(c, l, reply, err)
	}
	switch {
	case err == nil && reply.Code == batch.CodeNotRun && !l.Here:
		// The process doesn't lead or can't confirm that it does, so another one may lead by now.
		p.options.Tracker.ReportLost(l.Term)
		return reply, false
	case err == nil:
		return reply, true
	case errors.Is(err, ErrNotSent):
		if ctx.Err() == nil {
			p.options.Tracker.ReportLost(l.Term)
		}
		return batch.Reply{Code: batch.CodeNotRun, Detail: err.Error()}, false
	default:
		return batch.Reply{Code: batch.CodeUnknown, Detail: err.Error()}, true
	}
}
