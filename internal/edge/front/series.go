package front

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/model/fleet"
)

// seriesSet finds the metrics of a service, team and class without building their names for each request.
type seriesSet struct {
	mu       sync.RWMutex
	byLabels map[hist.Labels]*series
	claims   *metrics.Histogram
	failed   *metrics.Counter
}

// series are the metrics of one service, team and class.
type series struct {
	whole    *metrics.Histogram
	endpoint *metrics.Histogram
	outcomes [fleet.OutcomeUnknown + 1]*metrics.Counter
	retries  *metrics.Counter
	cut      *metrics.Counter
}

func newSeriesSet() *seriesSet {
	return &seriesSet{
		byLabels: map[hist.Labels]*series{},
		claims:   metrics.GetOrCreateHistogram("cowslip_claim_seconds"),
		failed:   metrics.GetOrCreateCounter("cowslip_claims_unconfirmed_total"),
	}
}

func newSeries(l hist.Labels) *series {
	s := &series{
		whole:    metrics.GetOrCreateHistogram(hist.Name("cowslip_request_seconds", l)),
		endpoint: metrics.GetOrCreateHistogram(hist.Name("cowslip_endpoint_seconds", l)),
		retries:  metrics.GetOrCreateCounter(hist.Name("cowslip_retries_total", l)),
		cut:      metrics.GetOrCreateCounter(hist.Name("cowslip_answers_cut_total", l)),
	}
	for o := fleet.OutcomeAnswered; o <= fleet.OutcomeUnknown; o++ {
		s.outcomes[o] = metrics.GetOrCreateCounter(hist.Name("cowslip_requests_"+o.String()+"_total", l))
	}
	return s
}

func (s *seriesSet) of(l hist.Labels) *series {
	s.mu.RLock()
	found := s.byLabels[l]
	s.mu.RUnlock()
	if found != nil {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byLabels[l] == nil {
		s.byLabels[l] = newSeries(l)
	}
	return s.byLabels[l]
}

// claim counts one claim.
func (s *seriesSet) claim(d time.Duration, confirmed bool) {
	s.claims.Update(d.Seconds())
	if !confirmed {
		s.failed.Inc()
	}
}

// observe counts a request at its end.
func (f *Front) observe(c *call) {
	s := f.series.of(c.labels)
	s.whole.Update(f.options.Clock.Now().Sub(c.start).Seconds())
	if c.endpoint > 0 {
		s.endpoint.Update(c.endpoint.Seconds())
	}
	if c.retries > 0 {
		s.retries.Add(c.retries)
	}
	if c.aborted {
		s.cut.Inc()
	}
	s.outcomes[c.outcome].Inc()
}
