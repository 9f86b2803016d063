package main

import (
	"strings"
	"sync"
	"time"
)

// aloneTime is how long a member of a gang waits for the others; gangTimeoutMs is 3000.
const aloneTime = 3 * time.Second

// gangs knows which members of the gangs are present, over all runners.
type gangs struct {
	mu  sync.Mutex
	all map[string]*gang
}

// gang is one run of a gang.
type gang struct {
	size    int
	present int
	// full is when all members were present, and broken says that one has ended since.
	full   time.Time
	broken bool
}

// join notes that a member is present and returns its gang.
func (g *gangs) join(task string, run, size int) *gang {
	g.mu.Lock()
	defer g.mu.Unlock()
	key := task[:strings.LastIndexByte(task, '.')] + "#" + string(rune('0'+run))
	if g.all == nil {
		g.all = map[string]*gang{}
	}
	if g.all[key] == nil {
		g.all[key] = &gang{size: size}
	}
	member := g.all[key]
	if member.present++; member.present == size {
		member.full = time.Now()
	}
	return member
}

// fate returns how a member ends now, empty while it goes on, given when it joined and how long it works.
func (g *gangs) fate(member *gang, joined time.Time, length time.Duration) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case member.broken:
		return "broken"
	case member.full.IsZero() && time.Since(joined) > aloneTime:
		return "alone"
	case !member.full.IsZero() && time.Since(member.full) > length:
		return "done"
	}
	return ""
}

// leave notes that a member has ended before the work of the gang was done.
func (g *gangs) leave(member *gang) {
	g.mu.Lock()
	defer g.mu.Unlock()
	member.broken = true
}
