package front

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cowslipstack/internal/base/hist"
	"cowslipstack/internal/model/fleet"
)

// metricsSet caches the metrics by service, team and class, so that their names are not built for each request.
type metricsSet struct {
	mu                sync.RWMutex
	byLabels          map[hist.Labels]*callMetrics
	claimSeconds      *metrics.Histogram
	claimsUnconfirmed *metrics.Counter
}

// callMetrics are the metrics of one service, team and class.
type callMetrics struct {
	requestSeconds  *metrics.Histogram
	endpointSeconds *metrics.Histogram
	outcomes        [fleet.OutcomeUnknown + 1]*metrics.Counter
	retries         *metrics.Counter
	answersCut      *metrics.Counter
}

func newMetricsSet() *metricsSet {
	return &metricsSet{
		byLabels:          map[hist.Labels]*callMetrics{},
		claimSeconds:      metrics.GetOrCreateHistogram("cowslip_claim_seconds"),
		claimsUnconfirmed: metrics.GetOrCreateCounter("cowslip_claims_unconfirmed_total"),
	}
}

func newCallMetrics(l hist.Labels) *callMetrics {
	m := &callMetrics{
		requestSeconds:  metrics.GetOrCreateHistogram(hist.Name("cowslip_request_seconds", l)),
		endpointSeconds: metrics.GetOrCreateHistogram(hist.Name("cowslip_endpoint_seconds", l)),
		retries:         metrics.GetOrCreateCounter(hist.Name("cowslip_retries_total", l)),
		answersCut:      metrics.GetOrCreateCounter(hist.Name("cowslip_answers_cut_total", l)),
	}
	for o := fleet.OutcomeAnswered; o <= fleet.OutcomeUnknown; o++ {
		m.outcomes[o] = metrics.GetOrCreateCounter(hist.Name("cowslip_requests_"+o.String()+"_total", l))
	}
	return m
}

func (s *metricsSet) forLabels(l hist.Labels) *callMetrics {
	s.mu.RLock()
	found := s.byLabels[l]
	s.mu.RUnlock()
	if found != nil {
		return found
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byLabels[l] == nil {
		s.byLabels[l] = newCallMetrics(l)
	}
	return s.byLabels[l]
}

// observeClaim records one claim.
func (s *metricsSet) observeClaim(d time.Duration, confirmed bool) {
	s.claimSeconds.Update(d.Seconds())
	if !confirmed {
		s.claimsUnconfirmed.Inc()
	}
}

// observeCall records a request when it ends.
func (f *Front) observeCall(c *call) {
	m := f.metrics.forLabels(c.labels)
	m.requestSeconds.Update(f.options.Clock.Now().Sub(c.started).Seconds())
	if c.endpointTime > 0 {
		m.endpointSeconds.Update(c.endpointTime.Seconds())
	}
	if c.retries > 0 {
		m.retries.Add(c.retries)
	}
	if c.aborted {
		m.answersCut.Inc()
	}
	m.outcomes[c.outcome].Inc()
}
