package eject

import "time"

const (
	// consecutiveFailureLimit is the number of consecutive failures that ejects a runner.
	consecutiveFailureLimit = 5
	// minSamples is the minimum number of answers in a window, of the runner and of the others, to compare rates.
	minSamples = 20
	// window is the time over which answers are counted.
	window = 5 * time.Second
	// failureRateMargin is the smallest excess of a runner's failure rate over that of the others that ejects the runner.
	failureRateMargin = 0.4
	// slowFactor is the multiple of the others' mean response time at which a runner is ejected.
	slowFactor = 4
	// minEjection is the duration of the first ejection; each further one lasts twice as long.
	minEjection = time.Second
	// maxEjection is the maximum duration of an ejection, without jitter.
	maxEjection = 30 * time.Second
	// ejectionResetAfter is the time without an ejection after which the next one lasts minEjection again.
	ejectionResetAfter = time.Minute
	// maxEjectedDivisor limits the ejected runners of a service to its size divided by this number.
	maxEjectedDivisor = 3
)

// Runner is the ejection state of one runner; the zero value has no answers yet.
type Runner struct {
	// Until is when the last ejection ends and the runner may be probed; zero if it was never ejected.
	Until time.Time

	consecutiveFailures int
	// stats are the answers since windowStart.
	stats       answerStats
	windowStart time.Time
	// ejections is the number of ejections since the last reset.
	ejections int
	// ejected also holds while the runner is probed.
	ejected         bool
	probeInProgress bool
}

// answerStats sums up answers.
type answerStats struct {
	count   int
	failed  int
	elapsed time.Duration
}

// minus returns the difference of two sums.
func (s answerStats) minus(o answerStats) answerStats {
	return answerStats{count: s.count - o.count, failed: s.failed - o.failed, elapsed: s.elapsed - o.elapsed}
}

// Pool holds the runners of one service; it is not safe for concurrent use.
type Pool struct {
	// Runners maps keys to runners; a runner without an answer may be missing.
	Runners map[string]*Runner
	// Size is the number of runners that the service has.
	Size int
	// Random returns a random number in [0, n).
	Random func(n int64) int64

	// total is the sum of the stats of Runners.
	total        answerStats
	ejectedCount int
}

// Usable reports whether a runner may receive a request: it is not ejected, or its ejection time is over and it has no
// probe in progress (half-open).
func (p *Pool) Usable(key string, now time.Time) bool {
	r, ok := p.Runners[key]
	return !ok || !r.ejected || !now.Before(r.Until) && !r.probeInProgress
}

// Start records that a request is sent to the runner; for an ejected runner it is the probe.
func (p *Pool) Start(key string) {
	if r, ok := p.Runners[key]; ok && r.ejected {
		r.probeInProgress = true
	}
}

// Cancel records that a request ended without a result for the runner, for example because its caller went away.
func (p *Pool) Cancel(key string) {
	if r, ok := p.Runners[key]; ok {
		r.probeInProgress = false
	}
}

// Finish records the result of a request and reports whether the runner is ejected because of it.
func (p *Pool) Finish(key string, ok bool, took time.Duration, now time.Time) bool {
	r := p.runner(key, now)
	if r.ejected {
		return p.probeEnded(r, ok, now)
	}
	answer := answerStats{count: 1, elapsed: took}
	r.consecutiveFailures++
	if ok {
		r.consecutiveFailures = 0
	} else {
		answer.failed = 1
	}
	p.add(r, answer)
	if r.consecutiveFailures < consecutiveFailureLimit && !p.outlier(r) || p.Ejected()+1 > p.Size/maxEjectedDivisor {
		return false
	}
	p.eject(r, now)
	return true
}

// Ejected returns the number of runners that are ejected, those being probed included.
func (p *Pool) Ejected() int {
	return p.ejectedCount
}

func (p *Pool) add(r *Runner, s answerStats) {
	r.stats = answerStats{count: r.stats.count + s.count, failed: r.stats.failed + s.failed, elapsed: r.stats.elapsed + s.elapsed}
	p.total = answerStats{count: p.total.count + s.count, failed: p.total.failed + s.failed, elapsed: p.total.elapsed + s.elapsed}
}

// resetStats removes a runner's answers from its own and the pool's sums.
func (p *Pool) resetStats(r *Runner) {
	p.total = p.total.minus(r.stats)
	r.stats = answerStats{}
}

// Retain removes the runners whose keys are not given and sets Size to the number of keys.
func (p *Pool) Retain(keys map[string]bool) {
	for key, r := range p.Runners {
		if keys[key] {
			continue
		}
		p.resetStats(r)
		if r.ejected {
			p.ejectedCount--
		}
		delete(p.Runners, key)
	}
	p.Size = len(keys)
}

func (p *Pool) runner(key string, now time.Time) *Runner {
	r, ok := p.Runners[key]
	if !ok {
		r = &Runner{windowStart: now}
		p.Runners[key] = r
	}
	if now.Sub(r.windowStart) >= window {
		p.resetStats(r)
		r.windowStart = now
	}
	return r
}

// probeEnded handles the result of a probe: success reinstates the runner, failure ejects it for longer.
func (p *Pool) probeEnded(r *Runner, ok bool, now time.Time) bool {
	if !r.probeInProgress {
		// The request was sent before the ejection.
		return false
	}
	r.probeInProgress = false
	if !ok {
		p.eject(r, now)
		return true
	}
	p.ejectedCount--
	*r = Runner{Until: r.Until, windowStart: now, ejections: r.ejections}
	return false
}

// outlier reports whether a runner fails more often or is slower than the others within the window.
func (p *Pool) outlier(r *Runner) bool {
	others := p.total.minus(r.stats)
	if r.stats.count < minSamples || others.count < minSamples {
		return false
	}
	worse := float64(r.stats.failed)/float64(r.stats.count)-float64(others.failed)/float64(others.count) >= failureRateMargin
	slower := r.stats.elapsed/time.Duration(r.stats.count) >= slowFactor*(others.elapsed/time.Duration(others.count))
	return worse || slower && others.elapsed > 0
}

func (p *Pool) eject(r *Runner, now time.Time) {
	if !r.Until.IsZero() && now.Sub(r.Until) >= ejectionResetAfter {
		r.ejections = 0
	}
	p.resetStats(r)
	if !r.ejected {
		p.ejectedCount++
	}
	length := min(minEjection<<min(r.ejections, 8), maxEjection)
	// Up to half of the duration is added at random, so that many runners are not probed at once.
	length += time.Duration(p.Random(int64(length / 2)))
	*r = Runner{Until: now.Add(length), windowStart: now, ejections: r.ejections + 1, ejected: true}
}
