package slots

import "time"

const (
	// levelChange is the part by which demand must differ before the division follows it.
	levelChange = 3
	// levelFall is the least time before the division follows demand downwards.
	levelFall = 500 * time.Millisecond
)

// level is the demand by which slots are divided. It follows what an entry reports up at once and down
// slowly, and not at all for small changes: slots that move are idle while they move.
type level struct {
	count   int
	changed time.Time
}

func (l *level) follow(count int, now time.Time) {
	up := count > l.count+l.count/levelChange+l.slack()
	down := (count == 0 || count < l.count-l.count/levelChange-l.slack()) && elapsed(l.changed, now) >= levelFall
	if up || down {
		l.count, l.changed = count, now
	}
}

// slack is the least change that counts; none does for a level of zero.
func (l *level) slack() int {
	return min(l.count, 1)
}

// demand takes what the holder reports; a service that it doesn't name has none.
func (h *holder) demand(demands []Demand, now time.Time) {
	counts := map[string]int{}
	for _, d := range demands {
		counts[d.Service] = d.Count
		if h.levels[d.Service] == nil {
			h.levels[d.Service] = &level{}
		}
	}
	for service, l := range h.levels {
		l.follow(counts[service], now)
		if l.count == 0 {
			delete(h.levels, service)
		}
	}
}

func (h *holder) level(service string) int {
	if l := h.levels[service]; l != nil {
		return l.count
	}
	return 0
}
