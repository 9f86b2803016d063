package member

import (
	"cmp"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
)

// Process is one process of the system.
type Process struct {
	// Name is its name; another machine in its place has another one.
	Name string
	// Address is where other processes reach it.
	Address string
	// Control is its control address, for workers and operators.
	Control string
	// Replica is the identity of its replica, 0 where it has no disk.
	Replica quorum.ReplicaID
}

// Hello is what a process tells of itself and of others.
type Hello struct {
	// Self is the process.
	Self Process
	// Known are the other processes that it heard of late.
	Known []Process
	// Leader is the name of the process that leads, as far as it knows; empty for none.
	Leader string
	// Term is the term of that leader.
	Term uint64
	// Founder is the process that is to form the group at the system's first start; empty where it isn't known.
	Founder string
}

// entry is what is known of a process.
type entry struct {
	process Process
	// heardMs is when it spoke itself, and toldMs when another one last told of it, by uptime.
	heardMs int64
	toldMs  int64
}

const (
	// aliveMs is how long a process counts as alive after it spoke, in milliseconds.
	aliveMs = 1500
	// forgetMs is how long a silent process is remembered, in milliseconds.
	forgetMs = 60_000
	// knownAtMost bounds the processes that are remembered, and toldAtMost those that are told to others.
	knownAtMost = 2048
	toldAtMost  = 64
)

// Route is how the leader is reached; plain data that other goroutines read.
type Route struct {
	// Leader is the name of the process that leads, empty where none is known.
	Leader string
	// Address is where other processes reach it, and Control where workers do.
	Address, Control string
	// Term is its term.
	Term uint64
}

// Membership is what a process knows of the others; but for Route it belongs to the control loop.
type Membership struct {
	self     Process
	logger   *zap.Logger
	entries  map[string]*entry
	founding founding
	route    atomic.Pointer[Route]
	leader   string
	term     uint64
}

// New returns a membership that knows its own process alone.
func New(self Process, logger *zap.Logger) *Membership {
	r := &Membership{self: self, logger: logger, entries: map[string]*entry{}}
	r.route.Store(&Route{})
	return r
}

// Route returns how the leader is reached; any goroutine may call it.
func (r *Membership) Route() Route {
	return *r.route.Load()
}

// Self returns this process.
func (r *Membership) Self() Process {
	return r.self
}

// Hear takes what a process told.
func (r *Membership) Hear(h *Hello, now int64) {
	if h.Self.Name == "" || h.Self.Name == r.self.Name {
		return
	}
	e := r.note(h.Self, now)
	if e == nil {
		return
	}
	r.hearFounder(h)
	e.heardMs = now
	for _, p := range h.Known {
		if p.Name != r.self.Name && p.Name != "" {
			if known := r.entries[p.Name]; known == nil || now-known.heardMs > aliveMs {
				r.note(p, now)
			}
		}
	}
	switch {
	case h.Leader != "" && h.Term > r.term:
		r.Follow(h.Leader, h.Term)
	case h.Term == r.term && r.leader == "" && h.Leader == h.Self.Name:
		// It was given up, and says itself that it leads.
		r.Follow(h.Leader, h.Term)
	case h.Self.Name == r.leader && h.Leader != h.Self.Name:
		// The process that was thought to lead says that it doesn't.
		r.Lose(r.term)
	}
}

// note remembers a process, under its newest address and identity.
func (r *Membership) note(p Process, now int64) *entry {
	e := r.entries[p.Name]
	if e == nil {
		if len(r.entries) >= knownAtMost {
			return nil
		}
		e = &entry{}
		r.entries[p.Name] = e
		r.logger.Info("process_known", zap.String("name", p.Name), zap.String("address", p.Address),
			zap.Bool("has_disk", p.Replica != 0), zap.Int("known", len(r.entries)))
	}
	e.process, e.toldMs = p, now
	if p.Name == r.leader {
		r.publish()
	}
	return e
}

// Follow takes notice of who leads in a term; an earlier term says nothing new.
func (r *Membership) Follow(leader string, term uint64) {
	if term < r.term || (term == r.term && (leader == r.leader || leader == "")) {
		return
	}
	r.leader, r.term = leader, term
	r.publish()
}

// Lose takes notice that the leader isn't reached, unless another one is known by now.
func (r *Membership) Lose(term uint64) {
	if term == r.term && r.leader != r.self.Name {
		r.leader = ""
		r.publish()
	}
}

func (r *Membership) publish() {
	route := &Route{Leader: r.leader, Term: r.term}
	if e := r.entries[r.leader]; e != nil {
		route.Address, route.Control = e.process.Address, e.process.Control
	}
	if r.leader == r.self.Name {
		route.Address, route.Control = r.self.Address, r.self.Control
	}
	if old := r.route.Load(); *old != *route {
		r.logger.Info("route_changed", zap.String("leader", route.Leader), zap.String("address", route.Address),
			zap.Uint64("term", route.Term), zap.String("former", old.Leader))
		r.route.Store(route)
	}
}

// Address returns where a process is reached, empty where it isn't known.
func (r *Membership) Address(name string) string {
	if e := r.entries[name]; e != nil {
		return e.process.Address
	}
	return ""
}

// Holder returns where the process with a replica is reached, empty where none is known.
func (r *Membership) Holder(id quorum.ReplicaID) string {
	for _, e := range r.entries {
		if e.process.Replica == id {
			return e.process.Address
		}
	}
	return ""
}

// Tell returns what this process tells others.
func (r *Membership) Tell(now int64) Hello {
	r.nameFounder(now)
	h := Hello{Self: r.self, Leader: r.leader, Term: r.term}
	if r.founding.arbiter == r.self.Address {
		h.Founder = r.founding.founder
	}
	for name, e := range r.entries {
		if now-e.toldMs > forgetMs && now-e.heardMs > forgetMs {
			delete(r.entries, name)
			continue
		}
		if now-max(e.heardMs, e.toldMs) < aliveMs*2 && (e.process.Replica != 0 || name == r.leader) && len(h.Known) < toldAtMost {
			h.Known = append(h.Known, e.process)
		}
	}
	return h
}

// Core returns the processes with a replica, by name, this one included where it has one.
func (r *Membership) Core() []Process {
	var all []Process
	if r.self.Replica != 0 {
		all = append(all, r.self)
	}
	for _, e := range r.entries {
		if e.process.Replica != 0 {
			all = append(all, e.process)
		}
	}
	slices.SortFunc(all, func(a, b Process) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Peers returns the addresses that this process should greet: those of the core where it has a replica or knows no leader,
// else the leader's.
func (r *Membership) Peers() []string {
	var all []string
	for _, p := range r.Core() {
		if p.Name != r.self.Name && (r.self.Replica != 0 || r.leader == "" || p.Name == r.leader) {
			all = append(all, p.Address)
		}
	}
	return all
}

// alive says whether a process spoke itself of late.
func (e *entry) alive(now int64) bool {
	return now-e.heardMs <= aliveMs
}
