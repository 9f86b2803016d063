package stats

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"cowslipstack/internal/edge/route"
	"cowslipstack/internal/model/fleet"
)

// Counter counts requests by VM and by service; it is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// vms holds the number of requests in progress by VM.
	vms      map[string]int
	services map[string]fleet.ServiceReport
}

// New returns a counter without requests.
func New() *Counter {
	return &Counter{vms: map[string]int{}, services: map[string]fleet.ServiceReport{}}
}

// InProgress returns the number of requests in progress on a VM.
func (c *Counter) InProgress(vm string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.vms[vm]
}

// Reports returns the counts of each service, sorted by name.
func (c *Counter) Reports() []fleet.ServiceReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := make([]fleet.ServiceReport, 0, len(c.services))
	for _, r := range c.services {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b fleet.ServiceReport) int { return strings.Compare(a.Service, b.Service) })
	return all
}

// ViewSource provides the view by which requests are routed.
type ViewSource interface {
	View() *route.View
}

// WrapHandler returns a handler that counts the outcomes of another handler's requests, which that handler writes to
// the named response header. Requests for services that the view doesn't hold are not counted.
func (c *Counter) WrapHandler(next http.Handler, views ViewSource, header string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.EscapedPath(), "/"), "/")
		if _, ok := views.View().Services[service]; !ok {
			next.ServeHTTP(w, r)
			return
		}
		// The handler panics if the response is truncated; the outcome is unknown then.
		outcome := fleet.OutcomeUnknown.String()
		defer func() { c.count(service, outcome) }()
		next.ServeHTTP(w, r)
		outcome = w.Header().Get(header)
	})
}

func (c *Counter) count(service, outcome string) {
	c.update(service, func(r *fleet.ServiceReport) {
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

func (c *Counter) update(service string, change func(*fleet.ServiceReport)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.services[service]
	r.Service = service
	change(&r)
	c.services[service] = r
}

func (c *Counter) begin(e fleet.Endpoint) {
	c.mu.Lock()
	c.vms[e.VM]++
	c.mu.Unlock()
	c.update(e.Service, func(r *fleet.ServiceReport) { r.InProgress++ })
}

func (c *Counter) end(e fleet.Endpoint) {
	c.mu.Lock()
	if c.vms[e.VM]--; c.vms[e.VM] == 0 {
		delete(c.vms, e.VM)
	}
	c.mu.Unlock()
	c.update(e.Service, func(r *fleet.ServiceReport) { r.InProgress-- })
}
