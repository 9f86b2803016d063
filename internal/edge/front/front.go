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

// Views gives the view by which requests are routed.
type Views interface {
	View() *route.View
}

// Relay sends one attempt to one endpoint.
type Relay interface {
	Send(context.Context, fleet.Endpoint, relay.Attempt) relay.Answer
}

// Dispatcher admits requests: Acquire waits for an endpoint or fails with a route.Refusal, and
// each ticket is released once with what came of its attempt.
type Dispatcher interface {
	Acquire(context.Context, route.Request) (route.Ticket, error)
	Release(route.Ticket, route.Result)
}

// Claims commits claims; where it fails, the claim may still be committed later.
type Claims interface {
	Submit(context.Context, record.Command) (record.Result, error)
}

// Others are the other entries.
type Others interface {
	Recall(ctx context.Context, entry, name, digest string) (claim.Recall, error)
}

// Options says what a front works with; all fields are needed.
type Options struct {
	// Name is the entry's name.
	Name string
	// Views gives the routing view.
	Views Views
	// Dispatcher chooses the endpoints.
	Dispatcher Dispatcher
	// Relay reaches the endpoints.
	Relay Relay
	// Claims commits claims.
	Claims Claims
	// Others gives the answers that other entries hold.
	Others Others
	// Memory keeps the answers that this entry holds.
	Memory *claim.Memory
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes the front's events.
	Logger *zap.Logger
	// BodyLimit is the most bytes of a request's body.
	BodyLimit int64
}

// Front answers callers; it is safe for concurrent use.
type Front struct {
	options  Options
	ids      *identities
	retries  *retry.Budget
	series   *seriesSet
	releases *releases
	// claiming bounds the claims that wait for a quorum, so that they never queue up.
	claiming chan struct{}
	// buffered is the bytes of request bodies in memory.
	buffered atomic.Int64
}

// New returns a front; Run must run for keys to be set free again.
func New(o Options) *Front {
	return &Front{
		options: o, ids: newIdentities(), retries: retry.NewBudget(), series: newSeriesSet(),
		releases: newReleases(o.Claims, o.Clock, o.Logger), claiming: make(chan struct{}, claimsWaiting),
	}
}

// Run sets keys free until the context ends.
func (f *Front) Run(ctx context.Context) error {
	return f.releases.run(ctx)
}

// Handler returns the HTTP handler of callers' requests.
func (f *Front) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/{service}", f.serve)
	router.HandleFunc("/{service}/{rest:.*}", f.serve)
	router.NotFoundHandler = http.HandlerFunc(f.serve)
	return router
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, control: http.NewResponseController(w), start: f.options.Clock.Now()}
	c.request = r.Header.Get(HeaderRequest)
	if c.request == "" || len(c.request) > requestIDBytes {
		c.request = f.ids.next()
	}
	w.Header()[HeaderRequest] = []string{c.request}
	refused := f.answer(c)
	if refused != nil {
		f.refuse(c, *refused)
	}
	f.observe(c)
	if c.aborted {
		// The caller has a part of the answer: its connection must end visibly.
		panic(http.ErrAbortHandler)
	}
}

// answer serves the request, or returns why it can't.
func (f *Front) answer(c *call) *refusal {
	view := f.options.Views.View()
	name := mux.Vars(c.r)["service"]
	service, ok := view.Services[name]
	if ok {
		c.service, c.settings = name, service.Settings
	}
	c.takeLabels(view)
	if refused := c.takeKey(); refused != nil {
		return refused
	}
	if !view.Lease.Valid(f.options.Clock.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: codeNoLease, message: "this entry holds no lease", retry: true}
	}
	if !ok {
		return &refusal{status: http.StatusNotFound, outcome: fleet.OutcomeNotRun, code: codeNoService, message: "no service has this name"}
	}
	deadline, err := requestDeadline(c.r, service)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: codeBadDeadline, message: err.Error()}
	}
	c.deadline = c.start.Add(deadline)
	if refused := f.takeBody(c); refused != nil {
		return refused
	}
	defer f.buffered.Add(-int64(len(c.body)))
	ctx, cancel := context.WithTimeout(c.r.Context(), c.deadline.Sub(f.options.Clock.Now()))
	defer cancel()
	f.retries.First(name)
	if c.key != "" && !c.idempotent() {
		return f.answerOnce(ctx, c)
	}
	return f.run(ctx, c)
}

// permit says whether the entry may still begin to send to an endpoint. An entry that was frozen may
// hold a new lease by now, under which the endpoint gets no new requests.
func (f *Front) permit(e fleet.Endpoint) bool {
	view := f.options.Views.View()
	if !view.Lease.Valid(f.options.Clock.Now()) {
		return false
	}
	return slices.ContainsFunc(view.Services[e.Service].Endpoints, func(o fleet.Endpoint) bool {
		return o.Name == e.Name && o.VM == e.VM && o.Epoch == e.Epoch
	})
}

// remaining returns the time that a request has left.
func (f *Front) remaining(c *call) time.Duration {
	return c.deadline.Sub(f.options.Clock.Now())
}
