package acct

const (
	// maxRefusals bounds the refused jobs that are remembered; the oldest are forgotten first.
	maxRefusals = 16384
	// refusalKeptMs is how long a refused job is remembered, in milliseconds: longer than its caller is sent away.
	refusalKeptMs = 90_000
)

// refusal is when a job was first refused, in Unix milliseconds.
type refusal struct {
	job string
	ms  int64
}

// Refusals remembers when refused jobs were first submitted, so that the time to their SLO doesn't begin anew when their callers
// come back. They are lost with the leadership.
type Refusals struct {
	firstMs map[string]int64
	order   []refusal
}

// NewRefusals returns no refusals.
func NewRefusals() *Refusals {
	return &Refusals{firstMs: map[string]int64{}}
}

// Note remembers that a job is refused at a time in Unix milliseconds, unless it is remembered already.
func (r *Refusals) Note(job string, ms int64) {
	r.expire(ms)
	if _, noted := r.firstMs[job]; noted {
		return
	}
	r.firstMs[job] = ms
	r.order = append(r.order, refusal{job: job, ms: ms})
}

// FirstMs returns when a job was first refused, in Unix milliseconds; 0 if it wasn't.
func (r *Refusals) FirstMs(job string) int64 {
	return r.firstMs[job]
}

func (r *Refusals) expire(ms int64) {
	for len(r.order) > 0 && (len(r.order) >= maxRefusals || ms-r.order[0].ms > refusalKeptMs) {
		delete(r.firstMs, r.order[0].job)
		r.order = r.order[1:]
	}
}
