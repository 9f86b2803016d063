package eject

import "time"

const (
	// failuresInRow is the count of failures in a row that takes a runner out.
	failuresInRow = 5
	// sampleLeast is the least count of answers in a window before rates are compared.
	sampleLeast = 20
	// window is the time over which successes are counted.
	window = 5 * time.Second
	// failShare is the failure rate above that of the others at which a runner is taken out.
	failShare = 0.4
	// slowFactor is how many times the others' mean time takes a runner out.
	slowFactor = 4
	// firstEjection is how long the first ejection lasts; each further one lasts twice as long.
	firstEjection = time.Second
	// longestEjection is the longest that an ejection lasts.
	longestEjection = 30 * time.Second
	// forgiveAfter is the time without an ejection after which the next one is short again.
	forgiveAfter = time.Minute
	// cap is the largest part of a service's runners that is out at one time, as one of so many.
	capPart = 3
)

// Runner is what is known of one runner's answers; the zero value is a runner that was not heard of.
type Runner struct {
	// Until is when the runner is tried again; it is past for one that is in use.
	Until time.Time

	inRow     int
	seen      tally
	began     time.Time
	ejections int
	probing   bool
	busy      bool
}

// tally adds up answers.
type tally struct {
	count  int
	failed int
	total  time.Duration
}

// minus takes another tally out.
func (t tally) minus(o tally) tally {
	return tally{count: t.count - o.count, failed: t.failed - o.failed, total: t.total - o.total}
}

// Pool holds the runners of one service; its owner guards it against concurrent use.
type Pool struct {
	// Runners are by key.
	Runners map[string]*Runner
	// Size is how many runners the service has.
	Size int
	// Random returns a number from 0 to below n.
	Random func(n int64) int64

	// all adds up the tallies of the runners.
	all tally
	out int
}

// Usable says whether a runner may get a request: it is in, or its time is up and it has no probe in progress.
func (p *Pool) Usable(key string, now time.Time) bool {
	r, ok := p.Runners[key]
	return !ok || !r.probing || !now.Before(r.Until) && !r.busy
}

// Began notes that a request goes to the runner.
func (p *Pool) Began(key string) {
	if r, ok := p.Runners[key]; ok && r.probing {
		r.busy = true
	}
}

// Unheard notes that a request told nothing of the runner, such as one whose caller went away.
func (p *Pool) Unheard(key string) {
	if r, ok := p.Runners[key]; ok {
		r.busy = false
	}
}

// Ended notes what came of a request, and says whether the runner is taken out because of it.
func (p *Pool) Ended(key string, ok bool, took time.Duration, now time.Time) bool {
	r := p.runner(key, now)
	if r.probing {
		return p.probed(r, ok, now)
	}
	answer := tally{count: 1, total: took}
	r.inRow++
	if ok {
		r.inRow = 0
	} else {
		answer.failed = 1
	}
	p.add(r, answer)
	if r.inRow < failuresInRow && !p.outlier(r) || p.Out()+1 > p.Size/capPart {
		return false
	}
	p.eject(r, now)
	return true
}

// Out returns how many runners are out or being tried.
func (p *Pool) Out() int {
	return p.out
}

func (p *Pool) add(r *Runner, t tally) {
	r.seen = tally{count: r.seen.count + t.count, failed: r.seen.failed + t.failed, total: r.seen.total + t.total}
	p.all = tally{count: p.all.count + t.count, failed: p.all.failed + t.failed, total: p.all.total + t.total}
}

// clear forgets what a runner answered.
func (p *Pool) clear(r *Runner) {
	p.all = p.all.minus(r.seen)
	r.seen = tally{}
}

// Keep drops runners that are not in use any more.
func (p *Pool) Keep(keys map[string]bool) {
	for key, r := range p.Runners {
		if keys[key] {
			continue
		}
		p.clear(r)
		if r.probing {
			p.out--
		}
		delete(p.Runners, key)
	}
	p.Size = len(keys)
}

func (p *Pool) runner(key string, now time.Time) *Runner {
	r, ok := p.Runners[key]
	if !ok {
		r = &Runner{began: now}
		p.Runners[key] = r
	}
	if now.Sub(r.began) >= window {
		p.clear(r)
		r.began = now
	}
	return r
}

// probed takes the result of a probe: a good one brings the runner back, a bad one keeps it out for longer.
func (p *Pool) probed(r *Runner, ok bool, now time.Time) bool {
	if !r.busy {
		// A request from before the ejection.
		return false
	}
	r.busy = false
	if !ok {
		p.eject(r, now)
		return true
	}
	p.out--
	*r = Runner{Until: r.Until, began: now, ejections: r.ejections}
	return false
}

// outlier compares a runner with the others over the window.
func (p *Pool) outlier(r *Runner) bool {
	others := p.all.minus(r.seen)
	if r.seen.count < sampleLeast || others.count < sampleLeast {
		return false
	}
	worse := float64(r.seen.failed)/float64(r.seen.count)-float64(others.failed)/float64(others.count) >= failShare
	slower := r.seen.total/time.Duration(r.seen.count) >= slowFactor*(others.total/time.Duration(others.count))
	return worse || slower && others.total > 0
}

func (p *Pool) eject(r *Runner, now time.Time) {
	if !r.Until.IsZero() && now.Sub(r.Until) >= forgiveAfter {
		r.ejections = 0
	}
	p.clear(r)
	if !r.probing {
		p.out++
	}
	length := min(firstEjection<<min(r.ejections, 8), longestEjection)
	// Half as much again at random keeps the probes of many runners apart.
	length += time.Duration(p.Random(int64(length / 2)))
	*r = Runner{Until: now.Add(length), began: now, ejections: r.ejections + 1, probing: true}
}
