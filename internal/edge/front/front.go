package front

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/edge/relay"
	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

const (
	// HeaderOutcome tells the caller what came of its request.
	HeaderOutcome = "Cowslip-Outcome"
	// HeaderRequest carries the request's identity, made here where the caller gave none.
	HeaderRequest = "Cowslip-Request"
	// HeaderDeadline is the time that the request may take, in milliseconds.
	HeaderDeadline = "Cowslip-Deadline-Ms"
	// HeaderTeam names the caller's team.
	HeaderTeam = "Cowslip-Team"
	// HeaderClass names the request's class.
	HeaderClass = "Cowslip-Class"
)

// Views gives the view by which requests are routed.
type Views interface {
	View() *route.View
}

// Relay sends one attempt to one endpoint.
type Relay interface {
	Send(context.Context, fleet.Endpoint, relay.Attempt) relay.Answer
}

// Options says what a front works with; all fields are needed.
type Options struct {
	// Views gives the routing view.
	Views Views
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
	load    *route.Counter
}

// New returns a front.
func New(o Options) *Front {
	return &Front{options: o, load: route.NewCounter()}
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
	if refused := f.answer(w, r, labels.Service); refused != nil {
		f.refuse(w, *refused)
	}
	hist.Observe("cowslip_request_seconds", labels, f.options.Clock.Now().Sub(start))
}

// answer serves the request, or returns why it can't.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, name string) *refusal {
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
	endpoint, ok := route.Choose(service, f.load, nil, f.options.Clock.Now(), rand.IntN)
	if !ok {
		return &refusal{status: http.StatusServiceUnavailable, outcome: fleet.OutcomeNotRun, code: "no_endpoint", message: "no endpoint of the service is free", retry: true}
	}
	f.load.Add(endpoint.Key(), 1)
	defer f.load.Add(endpoint.Key(), -1)
	return f.forward(ctx, w, endpoint, attemptOf(r, name, body))
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

// copy passes the answer on; where it is cut, the caller's connection ends visibly.
func (f *Front) copy(w http.ResponseWriter, response *http.Response) {
	header := w.Header()
	for name, values := range response.Header {
		if !isHop(name) {
			header[name] = values
		}
	}
	header.Set(HeaderOutcome, fleet.OutcomeAnswered.String())
	if response.ContentLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.ContentLength, 10))
	}
	w.WriteHeader(response.StatusCode)
	_, err := io.Copy(w, response.Body)
	if err = errors.CombineErrors(err, response.Body.Close()); err != nil {
		f.options.Logger.Info("answer_cut", zap.Error(err))
		panic(http.ErrAbortHandler)
	}
}

// refusal is an answer of the entry's own.
type refusal struct {
	status  int
	outcome fleet.Outcome
	code    string
	message string
	retry   bool
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Outcome   string `json:"outcome"`
	Code      string `json:"code"`
	Message   string `json:"message"`
	SafeRetry bool   `json:"safe_retry"`
}

func (f *Front) refuse(w http.ResponseWriter, r refusal) {
	header := w.Header()
	header.Set(HeaderOutcome, r.outcome.String())
	header.Set("Content-Type", "application/json")
	w.WriteHeader(r.status)
	body := refusalBody{Outcome: r.outcome.String(), Code: r.code, Message: r.message, SafeRetry: r.retry}
	if err := json.NewEncoder(w).Encode(body); err != nil {
		f.options.Logger.Debug("refusal_not_written", zap.Error(err))
	}
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequest); id != "" {
		return id
	}
	return uuid.NewString()
}

func requestDeadline(r *http.Request, s route.Service) (time.Duration, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		return time.Duration(s.Settings.DeadlineMs) * time.Millisecond, nil
	}
	count, err := strconv.Atoi(text)
	if err != nil || count < 1 || count > maxDeadlineMs {
		return 0, errors.Newf("%s is %q; allowed are 1 to %d", HeaderDeadline, text, maxDeadlineMs)
	}
	return time.Duration(count) * time.Millisecond, nil
}

// maxDeadlineMs is the longest time that a request may take.
const maxDeadlineMs = 600_000

func attemptOf(r *http.Request, service string, body []byte) relay.Attempt {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	header := http.Header{}
	for name, values := range r.Header {
		if !isHop(name) {
			header[name] = values
		}
	}
	return relay.Attempt{ID: uuid.NewString(), Method: r.Method, Path: path, Header: header, Body: body}
}

// isHop says whether a header belongs to one connection, or must not reach an endpoint.
func isHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
		"Transfer-Encoding", "Upgrade", "Content-Length", "Idempotency-Key", "X-Idempotency-Key", relay.HeaderAttempt:
		return true
	default:
		return false
	}
}
