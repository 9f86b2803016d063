package sched_test

import (
	"encoding/binary"
	"fmt"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"cowslipstack/internal/ctrl/jobs"
	"cowslipstack/internal/ctrl/member"
	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/sched"
	"cowslipstack/internal/model/batch"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/plan/pools"
)

const (
	// absenceElectionTicks and absenceHeartbeatTicks are those of a site's replicas, whose tick is 50 ms.
	absenceElectionTicks  = 14
	absenceHeartbeatTicks = 2
	// absenceKeptBytes limits the log entries that are kept before a snapshot, so that replicas that lag get the snapshot.
	absenceKeptBytes = 200
)

// absenceHost is a process with a replica and a scheduler. It is the scheduler's log and its uptime.
type absenceHost struct {
	day *absenceDay
	// number is the host's place among the hosts of the day; name is another one once the process was replaced.
	number     int
	name       string
	id         quorum.ReplicaID
	replica    *quorum.Replica
	machine    *jobs.StateMachine
	scheduler  *sched.Scheduler
	membership *member.Membership
	// disk is what the disk holds, unsynced what it doesn't hold yet.
	disk     absenceDisk
	unsynced []quorum.Write
	// up is false while the process is dead, frozen true while it stands still.
	up, frozen bool
	// wakesMs is when a process that stands still goes on, or a dead one starts again.
	wakesMs int64
	// lost means that the process counts as lost since it has lost its disk, replaced that it has another name since; it has been back for
	// backMs.
	lost, replaced bool
	backMs         int64
	// uptimeStandsStill means that the uptime doesn't go on in this absence; lostMs is how far it is behind.
	uptimeStandsStill bool
	lostMs            int64
	// unread are the messages and calls that have come and not been handled.
	unread []func()
	// applied and snapshotted are the last entries that the state and the latest snapshot cover.
	applied, snapshotted uint64
	// changing means that a change of the members is proposed.
	changing bool

	waiting  map[uint64]proposal
	reads    map[uint64]func(error)
	deferred []func()
	running  bool
}

// proposal waits for the entry that was proposed in a term.
type proposal struct {
	term uint64
	done func(error)
}

// start starts the process with what its disk holds.
func (h *absenceHost) start() {
	h.up, h.frozen, h.changing, h.unsynced, h.unread, h.deferred = true, false, false, nil, nil, nil
	h.waiting, h.reads, h.machine = map[uint64]proposal{}, map[uint64]func(error){}, jobs.New()
	h.applied, h.snapshotted = h.disk.snapshot.Index, h.disk.snapshot.Index
	if h.applied > 0 {
		h.machine.Restore(decodeState(h.disk.snapshot.Data))
	}
	h.replica = quorum.New(quorum.Options{
		ID: h.id, Hard: h.disk.hard, Snapshot: h.disk.snapshot, Entries: h.disk.entries, KeptBytes: absenceKeptBytes,
		HeartbeatTicks: absenceHeartbeatTicks, ElectionTicks: absenceElectionTicks, FirstElectionTicks: absenceElectionTicks / 2,
		Random: h.day.random.IntN,
	})
	h.membership = member.New(member.Process{Name: h.name, Address: h.name, ControlAddress: h.name, Replica: h.id}, zap.NewNop())
	h.scheduler = sched.New(sched.Options{
		Log: h, Clock: h.day.clock, Uptime: h, Logger: zap.NewNop(), ProcessName: h.name,
		PlatformLimits: platformLimits, JobMemoryBytes: 1 << 40, ReportMemoryBytes: 1 << 40, HasEnoughVoters: func() bool { return true },
		Members: func() []batch.MemberView { return nil }, PoolPlanner: pools.Planner{}, SendOrder: func(sched.Order) bool { return true },
	})
}

// Milliseconds returns the uptime.
func (h *absenceHost) Milliseconds() int64 { return h.day.nowMs - h.lostMs }

// Leads returns whether the replica leads, and its term.
func (h *absenceHost) Leads() (bool, uint64) {
	return h.replica.Role() == quorum.RoleLeader, h.replica.Term()
}

// Batch returns the state that the replica has applied.
func (h *absenceHost) Batch() *jobs.StateMachine { return h.machine }

// ProposeNow proposes a command; the data of its entry is its number among all commands of the day.
func (h *absenceHost) ProposeNow(c record.Command, done func(error)) error {
	h.day.commands = append(h.day.commands, c)
	data := binary.BigEndian.AppendUint64(nil, uint64(len(h.day.commands)-1))
	return h.propose(done, func() (quorum.Position, error) { return h.replica.Propose(data) })
}

func (h *absenceHost) propose(done func(error), propose func() (quorum.Position, error)) error {
	return h.stepWith(func() error {
		at, err := propose()
		if err == nil {
			h.waiting[at.Index] = proposal{term: at.Term, done: done}
		}
		return err
	})
}

// ConfirmNow asks a quorum whether the replica leads.
func (h *absenceHost) ConfirmNow(done func(error)) error {
	return h.stepWith(func() error {
		id, err := h.replica.Read()
		if err == nil {
			h.reads[id] = done
		}
		return err
	})
}

func (h *absenceHost) stepWith(run func() error) error {
	var refused error
	h.step(func() { refused = run() })
	return refused
}

// step takes a step of the replica and handles its output as package node does.
func (h *absenceHost) step(run func()) {
	run()
	h.handle(h.replica.Take())
	if limit := h.day.kind.SnapshotEntries; limit > 0 && h.applied >= h.snapshotted+uint64(limit) {
		h.replica.Compact(h.applied, encodeState(h.machine.State()))
		h.snapshotted = h.applied
		h.handle(h.replica.Take())
	}
	h.deferred = append(h.deferred, h.scheduler.HandleLogChange)
	if h.running {
		return
	}
	h.running = true
	for len(h.deferred) > 0 {
		call := h.deferred[0]
		h.deferred = h.deferred[1:]
		call()
	}
	h.running = false
}

func (h *absenceHost) handle(out quorum.Output) {
	if out.Deposed {
		h.failWaiters()
	}
	if out.Write != nil {
		h.unsynced = append(h.unsynced, *out.Write)
	}
	for _, m := range out.Messages {
		h.day.sendMessage(h, m)
	}
	if out.Restore != nil {
		h.machine.Restore(decodeState(out.Restore.Data))
		h.applied, h.snapshotted = out.Restore.Index, out.Restore.Index
	}
	for _, e := range out.Committed {
		h.apply(e)
	}
	for _, id := range out.Reads {
		if done := h.reads[id]; done != nil {
			h.deferred = append(h.deferred, func() { done(nil) })
			delete(h.reads, id)
		}
	}
}

func (h *absenceHost) failWaiters() {
	for _, p := range h.waiting {
		h.deferred = append(h.deferred, func() { p.done(node.ErrUnknown) })
	}
	for _, done := range h.reads {
		h.deferred = append(h.deferred, func() { done(node.ErrUnknown) })
	}
	clear(h.waiting)
	clear(h.reads)
}

func (h *absenceHost) apply(e quorum.Entry) {
	h.applied = e.Index
	if e.Kind == quorum.EntryCommand {
		c := h.day.commands[binary.BigEndian.Uint64(e.Data)]
		h.machine.Apply(c.Batch, c.Time.UnixMilli())
	}
	p, ok := h.waiting[e.Index]
	if !ok {
		return
	}
	delete(h.waiting, e.Index)
	var err error
	if p.term != e.Term {
		err = errors.WithStack(node.ErrUnknown)
	}
	h.deferred = append(h.deferred, func() { p.done(err) })
}

// sync lets the disk hold all writes.
func (h *absenceHost) sync() {
	if len(h.unsynced) == 0 {
		return
	}
	last := h.unsynced[len(h.unsynced)-1].Sequence
	h.save(len(h.unsynced))
	h.unsynced = nil
	h.step(func() { h.replica.Persisted(last) })
}

// save lets the disk hold the first of the writes.
func (h *absenceHost) save(count int) {
	for _, w := range h.unsynced[:min(count, len(h.unsynced))] {
		h.disk.save(w)
	}
}

// kill ends the process until a time; its disk holds the first of the writes that weren't synced.
func (h *absenceHost) kill(saved int, until int64) {
	if h.up {
		h.save(saved)
	}
	h.up, h.unread, h.wakesMs = false, nil, until
}

// loseDisk ends the process until a time, and leaves it an empty disk.
func (h *absenceHost) loseDisk(until int64) {
	h.kill(0, until)
	h.disk, h.lost, h.replaced, h.backMs = absenceDisk{}, true, false, 0
	h.day.lastID++
	h.id = h.day.lastID
}

// replace removes the process for good; from a time on another one is there with an empty disk and another name.
func (h *absenceHost) replace(until int64) {
	h.loseDisk(until)
	h.replaced = true
	h.name = fmt.Sprintf("p%d-%d", h.number, h.id)
}
