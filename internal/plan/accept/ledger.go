package accept

const (
	// slotMs is the resolution of the times by which work is due, and slots the number of slots; what is due later counts as
	// due in the last one.
	slotMs = 500
	slots  = 240
)

// Rate is the processor time that becomes available.
type Rate struct {
	// Now is the number of cores until LagMs from now, and Soon that from then on, once VMs have moved.
	Now, Soon float64
	// LagMs is how long VMs take to move, in milliseconds.
	LagMs int64
}

// By returns the processor time that becomes available until a time from now, in core-milliseconds.
func (r Rate) By(ms int64) float64 {
	return r.Now*float64(min(ms, r.LagMs)) + r.Soon*float64(max(0, ms-r.LagMs))
}

// Ledger is the work that is to be done at a rate, by the time by which it is due.
type Ledger struct {
	rate Rate
	// due is the work due in each slot, in core-milliseconds.
	due [slots]float64
}

// NewLedger returns a ledger without work.
func NewLedger(r Rate) *Ledger {
	return &Ledger{rate: r}
}

func slotOf(dueMs int64) int {
	return int(min(slots-1, max(0, dueMs)/slotMs))
}

// Add adds work that is due at a time from now, in milliseconds.
func (l *Ledger) Add(dueMs int64, workMs float64) {
	l.due[slotOf(dueMs)] += workMs
}

// Fits reports whether work can be done by a time from now, and the rest by the times by which it is due, if what is due first
// is done first. lackMs is the processor time that is missing otherwise, in core-milliseconds.
func (l *Ledger) Fits(dueMs int64, workMs float64) (lackMs float64, fits bool) {
	before := 0.0
	for i, work := range l.due {
		before += work
		if i < slotOf(dueMs) {
			continue
		}
		// What is in a slot is due between its two ends.
		until := int64(i)*slotMs + slotMs/2
		if i == slotOf(dueMs) {
			until = min(dueMs, slots*slotMs)
		} else if work == 0 {
			continue
		}
		lackMs = max(lackMs, before+workMs-l.rate.By(until))
	}
	return lackMs, lackMs <= 0
}
