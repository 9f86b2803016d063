package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
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

// Options says what a front works with; all fields are needed.
type Options struct {
	// Views gives the routing view.
	Views Views
	// Dispatcher chooses the endpoints.
	Dispatcher Dispatcher
	// Relay reaches the endpoints.
	Relay Relay
	// Clock gives the time.
	Clock clock.Clock
	// Logger takes the front's events.
	Logger *zap.Logger
	// BodyLimit is the most bytes of a request's body.
	BodyLimit int64
}

// Front answers callers; it is safe for concurrent use.
type Front struct {
	options Options
}

// New returns a front.
func New(o Options) *Front {
	return &Front{options: o}
}

// Handler returns the HTTP handler of callers' requests.
func (f *Front) Handler() http.Handler {
	router := mux.NewRouter().UseEncodedPath().SkipClean(true)
	router.HandleFunc("/{service}", f.serve)
	router.HandleFunc("/{service}/{rest:.*}", f.serve)
	router.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.refuse(w, refusal{status: http.StatusNotFound, outcome: fleet.OutcomeNotRun, code: "no_service", message: "the path names no service"})
	})
	return router
}

func (f *Front) serve(w http.ResponseWriter, r *http.Request) {
	start := f.options.Clock.Now()
	labels := hist.Labels{Service: mux.Vars(r)["service"], Team: r.Header.Get(HeaderTeam), Class: r.Header.Get(HeaderClass)}
	w.Header().Set(HeaderRequest, requestID(r))
	if refused := f.answer(w, r, labels.Service, start); refused != nil {
		f.refuse(w, *refused)
	}
	hist.Observe("cowslip_request_seconds", labels, f.options.Clock.Now().Sub(start))
}

// answer serves the request, or returns why it can't.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, name string, start time.Time) *refusal {
	view := f.options.Views.View()
	if !view.Lease.Valid(f.options.Clock.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: "no_lease", message: "this entry holds no lease", retry: true}
	}
	service, ok := view.Services[name]
	if !ok {
		return &refusal{status: http.StatusNotFound, outcome: fleet.OutcomeNotRun, code: "no_service", message: "no service has this name"}
	}
	deadline, err := requestDeadline(r, service)
	if err != nil {
		return &refusal{status: http.StatusBadRequest, outcome: fleet.OutcomeNotRun, code: "bad_deadline", message: err.Error()}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, f.options.BodyLimit))
	if err != nil {
		return &refusal{status: http.StatusRequestEntityTooLarge, outcome: fleet.OutcomeNotRun, code: "bad_body", message: err.Error()}
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline)
	defer cancel()
	ticket, err := f.options.Dispatcher.Acquire(ctx, route.Request{
		Service: name, Team: r.Header.Get(HeaderTeam), Class: r.Header.Get(HeaderClass), Deadline: start.Add(deadline),
	})
	if err != nil {
		return notAdmitted(err)
	}
	result := route.Result{Outcome: fleet.OutcomeUnknown, Load: route.NoLoad}
	defer func() { f.options.Dispatcher.Release(ticket, result) }()
	refused := f.forward(ctx, w, ticket.Endpoint, attemptOf(r, name, body))
	result.Elapsed = f.options.Clock.Now().Sub(start)
	result.Outcome = fleet.OutcomeAnswered
	if refused != nil {
		result.Outcome = refused.outcome
	}
	return refused
}

func (f *Front) forward(ctx context.Context, w http.ResponseWriter, e fleet.Endpoint, a relay.Attempt) *refusal {
	answer := f.options.Relay.Send(ctx, e, a)
	if answer.Outcome != fleet.OutcomeAnswered {
		status := http.StatusBadGateway
		if errors.Is(answer.Err, context.DeadlineExceeded) {
			status = http.StatusGatewayTimeout
		}
		return &refusal{status: status, outcome: answer.Outcome, code: "no_answer", message: answer.Err.Error(), retry: answer.Outcome == fleet.OutcomeNotRun}
	}
	f.copy(w, answer.Response)
	return nil
}
