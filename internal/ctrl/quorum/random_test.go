package quorum

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
)

// TestMain fixes the seed, the number and the length of the random tests, unless the command line has a seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		tests.SetFlags(map[string]string{"rapid.seed": "4", "rapid.checks": "60", "rapid.steps": "200", "rapid.nofailfile": "true"})
	}
	tests.PanicOnBreach()
	os.Exit(m.Run())
}

// chaos implements the random actions; each draws its own arguments.
type chaos struct {
	*group
	commands int
}

func (c *chaos) randomHost(t *rapid.T) *host {
	return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
}

func (c *chaos) tickAll(t *rapid.T) {
	for range rapid.IntRange(1, testElection).Draw(t, "ticks") {
		for _, h := range c.hosts {
			c.tick(h)
		}
	}
}

func (c *chaos) randomMessage(t *rapid.T) int {
	if len(c.network) == 0 {
		t.Skip("no message")
	}
	return rapid.IntRange(0, len(c.network)-1).Draw(t, "message")
}

func (c *chaos) drop(t *rapid.T) {
	at := c.randomMessage(t)
	c.network = append(c.network[:at], c.network[at+1:]...)
}

// runUndisturbed ticks all hosts and completes all messages and writes, for a random number of ticks.
func (c *chaos) runUndisturbed(t *rapid.T) {
	for range rapid.IntRange(1, 3*testElection).Draw(t, "ticks") {
		for _, h := range c.hosts {
			c.tick(h)
		}
		c.settle()
	}
}

// runWithFaults runs the group while messages are lost, duplicated, delayed and reordered, syncs are slow, and faults come
// and go.
func (c *chaos) runWithFaults(t *rapid.T) {
	r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	loss := rapid.IntRange(0, 30).Draw(t, "loss")
	faults := rapid.IntRange(0, 30).Draw(t, "faults")
	for range rapid.IntRange(1, 20*testElection).Draw(t, "rounds") {
		h := c.hosts[r.IntN(len(c.hosts))]
		c.tick(h)
		if r.IntN(1000) < faults {
			c.injectFault(h, r)
		}
		if h.running() && r.IntN(4) == 0 {
			_, _ = h.replica.Propose(make([]byte, r.IntN(50)))
			c.handle(h)
			c.requestRead(h)
		}
		if r.IntN(60) == 0 {
			c.compact(h)
		}
		for range min(len(c.network), 6) {
			at := min(r.IntN(len(c.network)), r.IntN(len(c.network)))
			if r.IntN(100) < loss {
				c.network = slices.Delete(c.network, at, at+1)
				continue
			}
			c.deliver(at, r.IntN(10) == 0)
		}
		c.sync(c.hosts[r.IntN(len(c.hosts))], r.IntN(3))
	}
}

func (c *chaos) injectFault(h *host, r *rand.Rand) {
	other := c.hosts[r.IntN(len(c.hosts))]
	if r.IntN(3) == 0 {
		c.heal()
		c.requestRead(h)
		return
	}
	switch r.IntN(7) {
	case 0:
		c.restart(h, r.IntN(3))
	case 1:
		c.blocked[[2]ReplicaID{h.id, other.id}] = true
	case 2:
		// Isolates a host, which may be the leader.
		for _, o := range c.hosts {
			c.blocked[[2]ReplicaID{h.id, o.id}], c.blocked[[2]ReplicaID{o.id, h.id}] = true, true
		}
	case 3:
		c.repair()
	case 4:
		// A frozen host receives nothing and its clock stops; once thawed it may believe that it still leads.
		h.frozen = !h.frozen
		c.requestRead(h)
	case 5:
		h.full = !h.full
	default:
		c.compact(h)
	}
}

func (c *chaos) propose(t *rapid.T) {
	h := c.randomHost(t)
	if l := c.leader(); l != nil && rapid.Bool().Draw(t, "leader") {
		h = l
	}
	for range rapid.IntRange(1, 8).Draw(t, "count") {
		if h.running() {
			c.commands++
			_, _ = h.replica.Propose(make([]byte, c.commands%50))
			c.handle(h)
		}
	}
}

func (c *chaos) requestRead(h *host) {
	if !h.running() {
		return
	}
	if id, err := h.replica.Read(); err == nil {
		// The read must see everything that any replica has applied by now.
		c.minReadIndexes[h.id][id] = uint64(len(c.committed))
		c.handle(h)
	}
}

func (c *chaos) restart(h *host, reached int) {
	if h.up {
		c.crash(h, reached)
	} else {
		c.start(h)
	}
}

func (c *chaos) blockLink(t *rapid.T) {
	a, b := c.randomHost(t), c.randomHost(t)
	c.blocked[[2]ReplicaID{a.id, b.id}] = true
	if rapid.Bool().Draw(t, "both") {
		c.blocked[[2]ReplicaID{b.id, a.id}] = true
	}
}

// loseDisk replaces a member by an empty host, but only if all other voters still have their disks.
func (c *chaos) loseDisk(t *rapid.T) {
	members := []Member{}
	for _, e := range c.committed {
		if e.Kind == EntryMembers {
			members = e.Members
		}
	}
	voters := votersOf(members)
	if len(voters) != len(c.hosts) {
		t.Skip("not repaired")
	}
	for _, id := range voters {
		if !c.has(id) {
			t.Skip("not repaired")
		}
	}
	c.replace(c.randomHost(t))
}

func (c *chaos) has(id ReplicaID) bool {
	for _, h := range c.hosts {
		if h.id == id {
			return true
		}
	}
	return false
}

func (c *chaos) replace(h *host) {
	c.lastID++
	h.id, h.disk = c.lastID, testDisk{}
	c.start(h)
}

// repair proposes the next membership change that a lost disk requires.
func (c *chaos) repair() {
	h := c.leader()
	if h == nil {
		return
	}
	defer c.handle(h)
	for _, o := range c.hosts {
		add := Change{Kind: ChangeAdd, Member: Member{ID: o.id, Name: o.name}}
		if _, err := h.replica.ProposeChange(add); err == nil {
			return
		}
	}
	for _, m := range h.replica.Members() {
		if !c.has(m.ID) {
			_, _ = h.replica.ProposeChange(Change{Kind: ChangeRemove, Member: m})
		} else if !m.Voter {
			_, _ = h.replica.ProposeChange(Change{Kind: ChangePromote, Member: m})
		}
	}
}

func (c *chaos) transfer(t *rapid.T) {
	if h := c.leader(); h != nil {
		_ = h.replica.Transfer(c.randomHost(t).id)
		c.handle(h)
	}
}

// heal ends all faults except lost disks.
func (c *chaos) heal() {
	clear(c.blocked)
	for _, h := range c.hosts {
		h.frozen, h.full = false, false
		if !h.up {
			c.start(h)
		}
	}
}

// checkRecovery checks that the group works again once all faults have ended.
func (c *chaos) checkRecovery(t *rapid.T) {
	c.heal()
	for range 20 * testElection {
		for _, h := range c.hosts {
			c.tick(h)
		}
		c.settle()
		c.repair()
	}
	h := c.leader()
	if h == nil {
		t.Fatalf("no leader after all faults ended")
	}
	p, err := h.replica.Propose([]byte("last"))
	if err != nil {
		t.Fatalf("no proposal after all faults ended: %v", err)
	}
	c.handle(h)
	for range 2 * testHeartbeat {
		c.settle()
		for _, o := range c.hosts {
			c.tick(o)
		}
	}
	for _, o := range c.hosts {
		if o.replica.Commit() < p.Index || len(votersOf(o.replica.Members())) != len(c.hosts) {
			t.Fatalf("%s has committed %d of %d, members %v", o.name, o.replica.Commit(), p.Index, o.replica.Members())
		}
	}
}

func TestRandomFaults(t *testing.T) {
	var committed, reads, terms int
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e"}[:rapid.SampledFrom([]int{3, 5}).Draw(t, "size")]
		c := &chaos{group: newGroup(names...)}
		t.Repeat(map[string]func(*rapid.T){
			"":          c.check,
			"ticks":     c.tickAll,
			"flow":      c.runUndisturbed,
			"churn":     c.runWithFaults,
			"deliver":   func(t *rapid.T) { c.deliver(c.randomMessage(t), false) },
			"double":    func(t *rapid.T) { c.deliver(c.randomMessage(t), true) },
			"drop":      c.drop,
			"sync":      func(t *rapid.T) { c.sync(c.randomHost(t), rapid.IntRange(1, 4).Draw(t, "writes")) },
			"settle":    func(*rapid.T) { c.settle() },
			"propose":   c.propose,
			"read":      func(t *rapid.T) { c.requestRead(c.randomHost(t)) },
			"restart":   func(t *rapid.T) { c.restart(c.randomHost(t), rapid.IntRange(0, 4).Draw(t, "reached")) },
			"cut":       c.blockLink,
			"heal":      func(*rapid.T) { c.heal() },
			"compact":   func(t *rapid.T) { c.compact(c.randomHost(t)) },
			"lose_disk": c.loseDisk,
			"repair":    func(*rapid.T) { c.repair() },
			"transfer":  c.transfer,
		})
		c.checkRecovery(t)
		c.check(t)
		committed, reads, terms = committed+len(c.committed), reads+c.readsConfirmed, terms+len(c.leaders)
	})
	t.Logf("%d entries committed, %d reads confirmed, %d leaders elected", committed, reads, terms)
}

func (c *chaos) check(t *rapid.T) {
	if c.violation != "" {
		t.Fatal(c.violation)
	}
}
