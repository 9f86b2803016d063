package stats

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// Counter counts requests; it is safe for concurrent use.
type Counter struct {
	mu       sync.Mutex
	vms      map[string]int
	services map[string]fleet.ServiceReport
}

// New returns a counter at zero.
func New() *Counter {
	return &Counter{vms: map[string]int{}, services: map[string]fleet.ServiceReport{}}
}

// InProgress returns the count of requests in progress on a VM.
func (t *Counter) InProgress(vm string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vms[vm]
}

// Reports returns the counts of each service, by name.
func (t *Counter) Reports() []fleet.ServiceReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]fleet.ServiceReport, 0, len(t.services))
	for _, r := range t.services {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b fleet.ServiceReport) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// Views gives the view by which requests are routed.
type Views interface {
	View() *route.View
}

// Handler counts what came of the requests that a handler answers; the header names the outcome.
func (t *Counter) Handler(next http.Handler, views Views, header string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
		if _, ok := views.View().Services[service]; !ok {
			next.ServeHTTP(w, r)
			return
		}
		// An answer that is cut ends the handler with a panic.
		outcome := fleet.OutcomeUnknown.String()
		defer func() { t.count(service, outcome) }()
		next.ServeHTTP(w, r)
		outcome = w.Header().Get(header)
	})
}

func (t *Counter) count(service, outcome string) {
	t.update(service, func(r *fleet.ServiceReport) {
		switch outcome {
		case fleet.OutcomeAnswered.String():
			r.Answered++
		case fleet.OutcomeNotRun.String():
			r.NotRun++
		default:
			r.Unknown++
		}
	})
}

func (t *Counter) update(service string, change func(*fleet.ServiceReport)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.services[service]
	r.Service = service
	change(&r)
	t.services[service] = r
}

func (t *Counter) begin(e fleet.Endpoint) {
	t.mu.Lock()
	t.vms[e.VM]++
	t.mu.Unlock()
	t.update(e.Service, func(r *fleet.ServiceReport) { r.InProgress++ })
}

func (t *Counter) end(e fleet.Endpoint) {
	t.mu.Lock()
	if t.vms[e.VM]--; t.vms[e.VM] == 0 {
		delete(t.vms, e.VM)
	}
	t.mu.Unlock()
	t.update(e.Service, func(r *fleet.ServiceReport) { r.InProgress-- })
}
