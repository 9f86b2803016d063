package quorum

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
)

const (
	testHeartbeat      = 5
	testElection       = 20
	maxNetworkMessages = 400
)

// group runs replicas on a simulated network and simulated disks, and checks safety invariants across them.
type group struct {
	hosts          []*host
	network        []Message
	blocked        map[[2]ReplicaID]bool
	leaders        map[uint64]ReplicaID
	entryHashes    map[Position]uint64
	committed      []Entry
	stateHashes    map[uint64]uint64
	minReadIndexes map[ReplicaID]map[uint64]uint64
	readsConfirmed int
	violation      string
	lastID         ReplicaID
	// firstElectionTicks is the hosts' Options.FirstElectionTicks.
	firstElectionTicks int
}

// host simulates a process with a disk.
type host struct {
	name   string
	id     ReplicaID
	up     bool
	frozen bool
	// full means that the host's disk accepts no write.
	full      bool
	replica   *Replica
	disk      testDisk
	unsynced  []Write
	stateHash uint64
	random    *rand.Rand
}

func (h *host) running() bool {
	return h.up && !h.frozen
}

// canSync reports whether the host can complete its unsynced writes.
func (h *host) canSync() bool {
	return h.running() && !h.full
}

// testDisk is the state that a host has synced.
type testDisk struct {
	hard     HardState
	snapshot Snapshot
	entries  []Entry
}

func (d *testDisk) save(w Write) {
	if w.Snapshot != nil {
		keep := !w.Reset && len(d.entries) > 0 && w.Snapshot.Index < d.entries[0].Index+uint64(len(d.entries))
		if keep {
			d.entries = slices.Clone(d.entries[w.Snapshot.Index-d.snapshot.Index:])
		} else {
			d.entries = nil
		}
		d.snapshot = *w.Snapshot
	}
	for _, e := range w.Entries {
		if e.Index > d.snapshot.Index {
			d.entries = append(slices.Clone(d.entries[:e.Index-d.snapshot.Index-1]), e)
		}
	}
	if w.Hard != nil {
		d.hard = *w.Hard
	}
}

func newGroup(names ...string) *group {
	g := &group{
		blocked: map[[2]ReplicaID]bool{}, leaders: map[uint64]ReplicaID{}, entryHashes: map[Position]uint64{},
		stateHashes: map[uint64]uint64{}, minReadIndexes: map[ReplicaID]map[uint64]uint64{},
	}
	var members []Member
	for _, name := range names {
		h := g.add(name)
		members = append(members, Member{ID: h.id, Name: name, Voter: true})
	}
	for _, h := range g.hosts {
		h.replica.Bootstrap(members)
		g.handle(h)
		g.sync(h, len(h.unsynced))
	}
	return g
}

// add starts a host with an empty disk.
func (g *group) add(name string) *host {
	g.lastID++
	h := &host{name: name, id: g.lastID, random: rand.New(rand.NewPCG(1, uint64(g.lastID)))}
	g.hosts = append(g.hosts, h)
	g.start(h)
	return h
}

func (g *group) start(h *host) {
	h.up, h.frozen, h.unsynced, h.stateHash = true, false, nil, 0
	h.replica = New(Options{
		ID: h.id, Hard: h.disk.hard, Snapshot: h.disk.snapshot, Entries: h.disk.entries,
		HeartbeatTicks: testHeartbeat, ElectionTicks: testElection, FirstElectionTicks: g.firstElectionTicks, Random: h.random.IntN, MessageBytes: 40,
	})
	g.minReadIndexes[h.id] = map[uint64]uint64{}
	if h.disk.snapshot.Index > 0 {
		g.restore(h, h.disk.snapshot)
	}
}

// crash stops a host. Of its unsynced writes the first ones, as many as reached says, are on the disk; the others are
// lost.
func (g *group) crash(h *host, reached int) {
	for _, w := range h.unsynced[:min(reached, len(h.unsynced))] {
		h.disk.save(w)
	}
	h.up, h.unsynced = false, nil
}

// sync completes the oldest unsynced writes, at most count of them.
func (g *group) sync(h *host, count int) {
	if count = min(count, len(h.unsynced)); count == 0 || !h.canSync() {
		return
	}
	for _, w := range h.unsynced[:count] {
		h.disk.save(w)
	}
	last := h.unsynced[count-1].Sequence
	h.unsynced = h.unsynced[count:]
	h.replica.Persisted(last)
	g.handle(h)
}

func (g *group) tick(h *host) {
	if h.running() {
		h.replica.Tick()
		g.handle(h)
	}
}

// deliver delivers the message at an index of the network, and keeps it there if double is set.
func (g *group) deliver(at int, double bool) {
	m := g.network[at]
	if !double {
		g.network = slices.Delete(g.network, at, at+1)
	}
	for _, h := range g.hosts {
		if h.id == m.To && h.running() && !g.blocked[[2]ReplicaID{m.From, m.To}] {
			h.replica.Step(m)
			g.handle(h)
		}
	}
}

func (g *group) handle(h *host) {
	out := h.replica.Take()
	if w := out.Write; w != nil {
		for _, e := range w.Entries {
			g.checkLogMatching(e)
		}
		h.unsynced = append(h.unsynced, *w)
	}
	g.network = append(g.network, out.Messages...)
	if len(g.network) > maxNetworkMessages {
		g.network = g.network[len(g.network)-maxNetworkMessages:]
	}
	if out.Restore != nil {
		g.restore(h, *out.Restore)
	}
	for _, e := range out.Committed {
		g.apply(h, e)
	}
	for _, id := range out.Reads {
		if h.replica.Commit() < g.minReadIndexes[h.id][id] {
			g.fail("a read on %s saw %d, not %d", h.name, h.replica.Commit(), g.minReadIndexes[h.id][id])
		}
		g.readsConfirmed++
	}
	g.checkLeader(h)
}

// checkLogMatching checks that entries with the same index and term are equal in all logs.
func (g *group) checkLogMatching(e Entry) {
	sum := fnv.New64a()
	_, _ = fmt.Fprintf(sum, "%d %v %x", e.Kind, e.Members, e.Data)
	at := Position{Index: e.Index, Term: e.Term}
	if known, ok := g.entryHashes[at]; ok && known != sum.Sum64() {
		g.fail("two entries at %v", at)
	}
	g.entryHashes[at] = sum.Sum64()
}

// apply checks that all hosts apply the same entries in the same order.
func (g *group) apply(h *host, e Entry) {
	if e.Index <= uint64(len(g.committed)) {
		if c := g.committed[e.Index-1]; c.Term != e.Term || !bytes.Equal(c.Data, e.Data) {
			g.fail("%s applied another entry %d", h.name, e.Index)
		}
	} else {
		if e.Index != uint64(len(g.committed))+1 {
			g.fail("%s applied entry %d after %d", h.name, e.Index, len(g.committed))
		}
		g.committed = append(g.committed, e)
	}
	h.stateHash = h.stateHash*31 + e.Index*7 + e.Term + uint64(len(e.Data))
	if known, ok := g.stateHashes[e.Index]; ok && known != h.stateHash {
		g.fail("%s holds another state at %d", h.name, e.Index)
	}
	g.stateHashes[e.Index] = h.stateHash
}

func (g *group) restore(h *host, s Snapshot) {
	h.stateHash = binary.LittleEndian.Uint64(s.Data)
	if h.stateHash != g.stateHashes[s.Index] {
		g.fail("%s restored another state at %d", h.name, s.Index)
	}
}

func (g *group) compact(h *host) {
	if r := h.replica; h.running() && r.applied > r.log.snapshot.Index {
		// The data is large enough to need several chunks.
		r.Compact(r.applied, append(binary.LittleEndian.AppendUint64(nil, h.stateHash), make([]byte, 2*snapshotChunkBytes)...))
		r.log.compact(r.log.snapshot, 4)
		g.handle(h)
	}
}

// checkLeader checks that a term has at most one leader, and that a leader has all committed entries.
func (g *group) checkLeader(h *host) {
	r := h.replica
	if r.Role() != RoleLeader {
		return
	}
	known, ok := g.leaders[r.Term()]
	if ok && known != h.id {
		g.fail("term %d has two leaders", r.Term())
	}
	if ok {
		return
	}
	g.leaders[r.Term()] = h.id
	for _, c := range g.committed {
		if term, held := r.log.term(c.Index); (held && term != c.Term) || c.Index > r.log.last() {
			g.fail("the leader %s of term %d lacks the committed entry %d", h.name, r.Term(), c.Index)
		}
	}
}

func (g *group) fail(format string, args ...any) {
	if g.violation == "" {
		g.violation = fmt.Sprintf(format, args...)
	}
}

// leader returns the running leader of the highest term, nil for none.
func (g *group) leader() *host {
	var found *host
	for _, h := range g.hosts {
		if h.running() && h.replica.Role() == RoleLeader && (found == nil || h.replica.Term() > found.replica.Term()) {
			found = h
		}
	}
	return found
}

func (g *group) hostByName(name string) *host {
	for _, h := range slices.Backward(g.hosts) {
		if h.name == name {
			return h
		}
	}
	return nil
}

// work ticks all hosts and proposes a command at the leader in each tick. All hosts take snapshots each snapshotTicks. It
// returns how many commands were proposed and committed.
func (g *group) work(ticks, snapshotTicks int) (proposed, committed int) {
	before := len(g.committed)
	for tick := range ticks {
		if h := g.leader(); h != nil {
			if _, err := h.replica.Propose([]byte("work")); err == nil {
				proposed++
				g.handle(h)
			}
		}
		for _, h := range g.hosts {
			g.tick(h)
			if tick%snapshotTicks == snapshotTicks-1 {
				g.compact(h)
			}
		}
		g.settle()
	}
	return proposed, len(g.committed) - before
}

// settle syncs writes and delivers messages until none are left.
func (g *group) settle() {
	for busy := true; busy; {
		busy = len(g.network) > 0
		for _, h := range g.hosts {
			busy = busy || (h.canSync() && len(h.unsynced) > 0)
			g.sync(h, len(h.unsynced))
		}
		for count := len(g.network); count > 0 && len(g.network) > 0; count-- {
			g.deliver(0, false)
		}
	}
}
