package front

import (
	"context"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/edge/claim"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/retry"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// Views provides the current routing view.
type Views interface {
	View() *route.View
}

// Relay sends one attempt to one endpoint.
type Relay interface {
	Send(context.Context, fleet.Endpoint, relay.Attempt) relay.Answer
}

// Dispatcher admits requests. Acquire waits for an endpoint or fails with a *route.Refusal; each ticket is given to
// Release once, with the result of its attempt.
type Dispatcher interface {
	Acquire(context.Context, route.Request) (route.Ticket, error)
	Release(route.Ticket, route.Result)
}

// Claims commits claims through the quorum. After an error the claim may still be committed later.
type Claims interface {
	Submit(context.Context, record.Command) (record.Result, error)
}

// Peers recalls the responses that other entries keep.
type Peers interface {
	Recall(ctx context.Context, entry, name, digest string) (claim.Recall, error)
}

// Options configures a Front; all fields are required.
type Options struct {
	// Name is the entry's name.
	Name string
	// Views provides the routing view.
	Views Views
	// Dispatcher chooses the endpoints.
	Dispatcher Dispatcher
	// Relay reaches the endpoints.
	Relay Relay
	// Claims commits claims.
	Claims Claims
	// Peers recalls the responses that other entries keep.
	Peers Peers
	// Cache keeps the responses to requests that this entry holds the claims of.
	Cache *claim.Cache
	// Clock is the time source.
	Clock clock.Clock
	// Logger receives log events.
	Logger *zap.Logger
	// BodyLimit is the maximum length of a request body in bytes.
	BodyLimit int64
}

// Front serves callers' requests; it is safe for concurrent use.
type Front struct {
	options  Options
	ids      *idGenerator
	retries  *retry.Budget
	metrics  *metricsSet
	releaser *claimReleaser
	// pendingClaims limits the claims that wait for a quorum; beyond it requests are refused at once instead of
	// queued.
	pendingClaims chan struct{}
	// bodyBytes is the total length of the request bodies in memory.
	bodyBytes atomic.Int64
}

// New returns a Front. Keys are released only while Run runs.
func New(o Options) *Front {
	return &Front{
		options: o, ids: newIDGenerator(), retries: retry.NewBudget(), metrics: newMetricsSet(),
		releaser: newClaimReleaser(o.Claims, o.Clock, o.Logger), pendingClaims: make(chan struct{}, maxPendingClaims),
	}
}

// Run releases the keys of requests that were not sent, until the context ends.
func (f *Front) Run(ctx context.Context) error {
	return f.releaser.run(ctx)
}

// Handler returns the HTTP handler for callers' requests.
func (f *Front) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/{service}", f.serve)
	router.HandleFunc("/{service}/{rest:.*}", f.serve)
	router.NotFoundHandler = http.HandlerFunc(f.serve)
	return router
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, control: http.NewResponseController(w), started: f.options.Clock.Now()}
	c.requestID = r.Header.Get(HeaderRequest)
	if c.requestID == "" || len(c.requestID) > maxRequestIDBytes {
		c.requestID = f.ids.next()
	}
	w.Header()[HeaderRequest] = []string{c.requestID}
	refused := f.handle(c)
	if refused != nil {
		f.writeRefusal(c, *refused)
	}
	f.observeCall(c)
	if c.aborted {
		// The caller has a part of the response: abort the connection, so that it does not take the part for the
		// whole.
		panic(http.ErrAbortHandler)
	}
}

// handle serves the request, or returns the refusal to write.
func (f *Front) handle(c *call) *refusal {
	view := f.options.Views.View()
	name := mux.Vars(c.r)["service"]
	service, ok := view.Services[name]
	if ok {
		c.service, c.settings = name, service.Settings
	}
	c.setLabels(view)
	if refused := c.readKey(); refused != nil {
		return refused
	}
	if !view.Lease.Valid(f.options.Clock.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeNoLease, message: "this entry holds no lease", safeRetry: true}
	}
	if !ok {
		return &refusal{status: http.StatusNotFound, outcome: fleet.OutcomeNotRun, code: codeNoService, message: "no service has this name"}
	}
	deadline, err := requestDeadline(c.r, service)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadDeadline, message: err.Error()}
	}
	c.deadline = c.started.Add(deadline)
	if refused := f.readBody(c); refused != nil {
		return refused
	}
	defer f.bodyBytes.Add(-int64(len(c.body)))
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(f.options.Clock.Now()))
	defer cancel()
	f.retries.RecordAttempt(name)
	if c.key != "" && !c.idempotent() {
		return f.handleKeyed(ctx, c)
	}
	return f.sendWithRetries(ctx, c)
}

// sendPermitted reports whether the entry may still start sending to an endpoint. After a pause of the process the
// entry may hold a new lease, under which the endpoint gets no new requests.
func (f *Front) sendPermitted(e fleet.Endpoint) bool {
	view := f.options.Views.View()
	if !view.Lease.Valid(f.options.Clock.Now()) {
		return false
	}
	return slices.ContainsFunc(view.Services[e.Service].Endpoints, func(o fleet.Endpoint) bool {
		return o.Name == e.Name && o.VM == e.VM && o.Epoch == e.Epoch
	})
}

// remainingTime returns the time left until the request's deadline.
func (f *Front) remainingTime(c *call) time.Duration {
	return c.deadline.Sub(f.options.Clock.Now())
}
