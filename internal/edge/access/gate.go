package access

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/model/batch"
)

// Leader makes calls on the leader.
type Leader interface {
	// Do makes a call; the code of the reply tells whether it succeeded.
	Do(ctx context.Context, c *batch.Call) batch.Reply
}

// Options configures a Gate; all fields are required.
type Options struct {
	// Leader tells the access table in force.
	Leader Leader
	// Clock measures the age of the table.
	Clock clock.Clock
	// Logger receives each new table.
	Logger *zap.Logger
}

// Gate decides which calls of callers are read; its methods are safe for concurrent use.
type Gate struct {
	options Options
	table   atomic.Pointer[table]

	mu sync.Mutex
	// asking is the request to the leader that is in progress, nil if there is none.
	asking *request
	// begun is the number of requests that have been made.
	begun uint64
	// confirmed is when the last request that succeeded was made, and confirmedNumber its number.
	confirmed       time.Time
	confirmedNumber uint64
}

// request is one request for the table; done is closed once reply is set.
type request struct {
	// number counts the requests.
	number uint64
	done   chan struct{}
	reply  batch.Reply
}

// New returns a gate without a table; it starts no goroutine.
func New(o Options) *Gate {
	return &Gate{options: o}
}

// minInterval is the least time between two requests for the table. A call without a valid key makes the gate ask, so it
// bounds what such calls cost the leader. It is a tenth of the time in which a new key has to work.
const minInterval = 250 * time.Millisecond

var (
	tablesTotal  = metrics.NewCounter("cowslip_access_tables_total")
	refusedTotal = metrics.NewCounter("cowslip_access_refused_total")
)

// Admit returns a reply with CodeOK if a call with a credential may be read. Otherwise the reply is the answer to the call:
// the table in force has no such key, or it can't be told which one is in force.
func (g *Gate) Admit(ctx context.Context, credential batch.KeyDigest, target *batch.RequestTarget) batch.Reply {
	if t := g.table.Load(); t != nil && t.admits(credential, target) {
		return batch.Reply{Code: batch.CodeOK}
	}
	if reply := g.refreshAnew(ctx); reply.Code != batch.CodeOK {
		return reply
	}
	if g.table.Load().admits(credential, target) {
		return batch.Reply{Code: batch.CodeOK}
	}
	refusedTotal.Inc()
	return batch.Reply{Code: batch.CodeUnauthorized, Detail: "the call needs a key of a client account"}
}

// Recheck makes sure that the table is a recent one, after the leader refused the credential of a call that was admitted: the key
// was withdrawn, or keys are required, since the table was read.
func (g *Gate) Recheck(ctx context.Context) {
	// The calls that need a newer table get the reason why there is none.
	_ = g.refresh(ctx)
}

// refresh makes sure that the table was confirmed at most minInterval ago. Calls that need it at the same time share a
// request.
func (g *Gate) refresh(ctx context.Context) batch.Reply {
	g.mu.Lock()
	if g.asking == nil && g.untilNextRequest() > 0 {
		g.mu.Unlock()
		return batch.Reply{Code: batch.CodeOK}
	}
	r := g.share(ctx)
	g.mu.Unlock()
	return r.wait(ctx)
}

// refreshAnew makes sure that the table was confirmed by a request that began since, for a call whose key isn't in the table: the key
// may have come into force just before the call.
func (g *Gate) refreshAnew(ctx context.Context) batch.Reply {
	g.mu.Lock()
	former := g.begun
	g.mu.Unlock()
	for {
		g.mu.Lock()
		if g.confirmedNumber > former {
			g.mu.Unlock()
			return batch.Reply{Code: batch.CodeOK}
		}
		if pause := g.untilNextRequest(); g.asking == nil && pause > 0 {
			g.mu.Unlock()
			if !clock.Sleep(ctx, g.options.Clock, pause) {
				return notReadInTime
			}
			continue
		}
		r := g.share(ctx)
		g.mu.Unlock()
		if reply := r.wait(ctx); reply.Code != batch.CodeOK {
			return reply
		}
	}
}

// untilNextRequest returns how long the next request for the table has to wait, negative or 0 if it may be made. The caller holds the
// lock.
func (g *Gate) untilNextRequest() time.Duration {
	if g.table.Load() == nil {
		return 0
	}
	return minInterval - g.options.Clock.Now().Sub(g.confirmed)
}

// share returns the request in progress, or begins one. The caller holds the lock.
func (g *Gate) share(ctx context.Context) *request {
	if g.asking == nil {
		g.begun++
		g.asking = &request{number: g.begun, done: make(chan struct{})}
		// Other calls wait for the reply, so that it doesn't end with this one.
		go g.ask(context.WithoutCancel(ctx), g.asking)
	}
	return g.asking
}

// notReadInTime is the reply to a call whose deadline passes before the table is read.
var notReadInTime = batch.Reply{Code: batch.CodeNotRun, Detail: "the access table was not read in time"}

// wait waits for the reply to a request.
func (r *request) wait(ctx context.Context) batch.Reply {
	select {
	case <-r.done:
		return r.reply
	case <-ctx.Done():
		return notReadInTime
	}
}

// ask asks the leader for the table and takes it over; the leader's Do bounds how long it takes.
func (g *Gate) ask(ctx context.Context, r *request) {
	known := g.table.Load()
	asked := g.options.Clock.Now()
	c := &batch.Call{ReadAccess: &batch.AccessRequest{}}
	if known != nil {
		c.ReadAccess.KnownVersion = known.version
	}
	r.reply = g.options.Leader.Do(ctx, c)
	if r.reply.Code == batch.CodeInvalid {
		// A leader of a former version, which has no accounts, doesn't know the call.
		r.reply = batch.Reply{Code: batch.CodeOK, Access: &batch.AccessTable{}}
	}
	if r.reply.Code == batch.CodeOK && r.reply.Access == nil {
		r.reply = batch.Reply{Code: batch.CodeNotRun, Detail: "the leader sent no access table"}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.reply.Code == batch.CodeOK {
		g.confirmed, g.confirmedNumber = asked, r.number
		g.take(known, r.reply.Access)
	}
	g.asking = nil
	close(r.done)
}

// take replaces the known table unless the leader's is the same.
func (g *Gate) take(known *table, t *batch.AccessTable) {
	if known != nil && t.Unchanged {
		return
	}
	g.table.Store(newTable(t))
	tablesTotal.Inc()
	g.options.Logger.Info("access_table_read", zap.Uint64("configuration", t.Version), zap.Bool("requires_keys", t.RequiresKeys),
		zap.Int("keys", len(t.Keys)), zap.Int("public_queues", len(t.Public)))
}
