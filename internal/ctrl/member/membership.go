package member

import (
	"cmp"
	"slices"
	"sync/atomic"

	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/quorum"
)

// Process describes one process of the system.
type Process struct {
	// Name identifies the process; a replacement on another machine has another name.
	Name string
	// Address is its address for other processes.
	Address string
	// ControlAddress is its control address, for workers and operators.
	ControlAddress string
	// Replica is the identity of its replica, 0 if it has no disk.
	Replica quorum.ReplicaID
}

// Hello is the gossip message in which a process describes itself and the others that it knows.
type Hello struct {
	// Self is the sender.
	Self Process
	// Known are other processes that the sender heard, or heard of, recently.
	Known []Process
	// Leader is the name of the leader that the sender knows; empty for none.
	Leader string
	// Term is the term of that leader.
	Term uint64
	// Founder is the name of the process that bootstraps the group at the system's first start; empty if unknown.
	Founder string
}

// knownProcess is the state kept for another process.
type knownProcess struct {
	process Process
	// heardMs is the uptime at which it last sent a hello, reportedMs that at which it was last heard or reported by others.
	heardMs    int64
	reportedMs int64
}

const (
	// aliveMs is how long a process counts as alive after a hello from it, in milliseconds.
	aliveMs = 1500
	// forgetMs is how long a process that is neither heard nor reported is remembered, in milliseconds.
	forgetMs = 60_000
	// maxKnownProcesses bounds the processes that are remembered, maxReportedProcesses those in one hello.
	maxKnownProcesses    = 2048
	maxReportedProcesses = 64
)

// Route tells how to reach the leader; it is an immutable value for use by any goroutine.
type Route struct {
	// Leader is the name of the leader, empty if none is known.
	Leader string
	// Address is the leader's address for other processes, ControlAddress that for workers.
	Address, ControlAddress string
	// Term is the leader's term.
	Term uint64
}

// Reachable reports whether the leader is known with an address. Its name may be known before: from a process that knows no other any more.
func (r *Route) Reachable() bool { return r.Address != "" }

// Membership is the set of processes that a process knows. Only the control loop may use it, except for Route.
type Membership struct {
	self      Process
	logger    *zap.Logger
	processes map[string]*knownProcess
	bootstrap bootstrap
	route     atomic.Pointer[Route]
	// followed is the last known leader.
	followed atomic.Pointer[followed]
	leader   string
	term     uint64
	// confirmedMs is the uptime at which the leader itself last said that it leads.
	confirmedMs int64
	// ignoredTerm is the last far term that was ignored.
	ignoredTerm uint64
}

// New returns a membership that knows only its own process.
func New(self Process, logger *zap.Logger) *Membership {
	m := &Membership{self: self, logger: logger, processes: map[string]*knownProcess{}}
	m.route.Store(&Route{})
	m.followed.Store(newFollowed("", 0))
	return m
}

// Route returns how to reach the leader; any goroutine may call it.
func (m *Membership) Route() Route {
	return *m.route.Load()
}

// Self returns this process.
func (m *Membership) Self() Process {
	return m.self
}

// HandleHello handles a hello; now is the uptime in milliseconds.
func (m *Membership) HandleHello(h *Hello, now int64) {
	if h.Self.Name == "" || h.Self.Name == m.self.Name {
		return
	}
	k := m.rememberProcess(h.Self, now)
	if k == nil {
		return
	}
	m.acceptFounder(h)
	k.heardMs = now
	for _, p := range h.Known {
		if p.Name != m.self.Name && p.Name != "" {
			if known := m.processes[p.Name]; known == nil || now-known.heardMs > aliveMs {
				m.rememberProcess(p, now)
			}
		}
	}
	m.updateLeader(h, now)
	if h.Self.Name == h.Leader && h.Leader == m.leader {
		m.confirmedMs = now
	}
}

// rememberProcess records a process with its latest address and replica identity; nil if there is no room for another one.
func (m *Membership) rememberProcess(p Process, now int64) *knownProcess {
	k := m.processes[p.Name]
	if k == nil {
		if len(m.processes) >= maxKnownProcesses {
			return nil
		}
		k = &knownProcess{}
		m.processes[p.Name] = k
		m.logger.Info("process_known", zap.String("name", p.Name), zap.String("address", p.Address),
			zap.Bool("has_disk", p.Replica != 0), zap.Int("known", len(m.processes)))
	}
	k.process, k.reportedMs = p, now
	if p.Name == m.leader {
		m.publishRoute()
	}
	return k
}

func (m *Membership) publishRoute() {
	route := &Route{Leader: m.leader, Term: m.term}
	if k := m.processes[m.leader]; k != nil {
		route.Address, route.ControlAddress = k.process.Address, k.process.ControlAddress
	}
	if m.leader == m.self.Name {
		route.Address, route.ControlAddress = m.self.Address, m.self.ControlAddress
	}
	if old := m.route.Load(); *old != *route {
		m.logger.Info("route_changed", zap.String("leader", route.Leader), zap.String("address", route.Address),
			zap.Uint64("term", route.Term), zap.String("former", old.Leader))
		m.follow(route)
		m.route.Store(route)
	}
}

// Address returns the address of a process, empty if it isn't known.
func (m *Membership) Address(name string) string {
	if k := m.processes[name]; k != nil {
		return k.process.Address
	}
	return ""
}

// ReplicaAddress returns the address of the process that runs a replica, empty if none is known.
func (m *Membership) ReplicaAddress(id quorum.ReplicaID) string {
	for _, k := range m.processes {
		if k.process.Replica == id {
			return k.process.Address
		}
	}
	return ""
}

// MakeHello returns the hello for other processes and forgets those that have been silent for too long.
func (m *Membership) MakeHello(now int64) Hello {
	m.chooseFounder(now)
	h := Hello{Self: m.self, Leader: m.leader, Term: m.term}
	if m.bootstrap.arbiter == m.self.Address {
		h.Founder = m.bootstrap.founder
	}
	for name, k := range m.processes {
		if now-k.reportedMs > forgetMs && now-k.heardMs > forgetMs {
			delete(m.processes, name)
			continue
		}
		if now-max(k.heardMs, k.reportedMs) < aliveMs*2 && (k.process.Replica != 0 || name == m.leader) && len(h.Known) < maxReportedProcesses {
			h.Known = append(h.Known, k.process)
		}
	}
	return h
}

// ReplicaProcesses returns the processes that have a replica, sorted by name, including this one if it has a replica.
func (m *Membership) ReplicaProcesses() []Process {
	var all []Process
	if m.self.Replica != 0 {
		all = append(all, m.self)
	}
	for _, k := range m.processes {
		if k.process.Replica != 0 {
			all = append(all, k.process)
		}
	}
	slices.SortFunc(all, func(a, b Process) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// Peers returns the addresses to which this process should send a hello: those of all processes with a replica if it has
// one too or no leader says that it leads, otherwise only the leader's; now is the uptime in milliseconds.
func (m *Membership) Peers(now int64) []string {
	var all []string
	for _, p := range m.ReplicaProcesses() {
		if p.Name != m.self.Name && (m.self.Replica != 0 || !m.confirmed(now) || p.Name == m.leader) {
			all = append(all, p.Address)
		}
	}
	return all
}

// alive reports whether the process itself sent a hello recently.
func (k *knownProcess) alive(now int64) bool {
	return now-k.heardMs <= aliveMs
}
