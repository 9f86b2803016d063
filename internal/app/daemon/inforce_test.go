package daemon_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/record"
)

// maxInForceDelay is the maximum time from the acceptance of a revision until it is in force on all entries.
const maxInForceDelay = 4 * time.Second

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "4"})
	tests.PanicOnBreach()
	os.Exit(m.Run())
}

func documentText(n int) []byte {
	return fmt.Appendf(nil, `environment = "production"
[[pools]]
name = "depot"
size = %d
[[services]]
name = "inspection"
pool = "depot"
availability = 0.999
`, n%10000)
}

// model is the system under test of TestInForce: a simulation, three VMs and the invariants that every step is checked
// for.
type model struct {
	*simulation
	vms []fleet.VM
}

func newModel(ctx context.Context, t *rapid.T) *model {
	m := &model{simulation: newSimulation(ctx, 3, 4)}
	m.commit(record.Command{Document: &record.DocumentChange{Environment: "production", Text: documentText(0)}})
	for i := range 3 {
		v := fleet.VM{Name: fmt.Sprintf("vm-%d", i), Pool: "depot"}
		m.vms = append(m.vms, v)
		m.commit(record.Command{VM: &record.VMChange{Step: record.VMJoin, VM: v.Name, Pool: v.Pool}})
	}
	m.announce(t)
	return m
}

func (m *model) announce(t *rapid.T) {
	for _, e := range m.entries {
		for _, v := range m.vms {
			_, err := e.agent.Announce(m.ctx, fleet.Endpoint{
				Service: "inspection", Name: "on-" + v.Name, VM: v.Name, Address: "127.0.0.1:1", Slots: 8,
				Sequence: uint64(m.clock.Now().UnixNano()), Epoch: m.state().VMs[v.Name].Epoch,
			})
			if err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (m *model) changeVM(t *rapid.T) {
	v := m.state().VMs[rapid.SampledFrom(m.vms).Draw(t, "vm").Name]
	step := rapid.SampledFrom([]record.VMStep{
		record.VMDrain, record.VMActivate, record.VMStop, record.VMReturn, record.VMFail,
	}).Draw(t, "step")
	m.commit(record.Command{VM: &record.VMChange{Step: step, VM: v.Name, Epoch: v.Epoch, Pool: v.Pool}})
}

// checkInvariants compares the keepers' snapshots with the entries: a revision reported in force must be used by every
// serving entry, a revision must be in force within maxInForceDelay on replicas that are not partitioned, and a VM that
// the leader reports drained must have no requests in progress.
func (m *model) checkInvariants(t *rapid.T) {
	if err := m.refresh(); err != nil {
		t.Fatal(err)
	}
	for _, r := range m.replicas {
		for _, rev := range r.keeper.Snapshot().Revisions {
			for _, e := range m.entries {
				if rev.Everywhere && e.serving() && e.agent.View().Revision < rev.Revision {
					t.Fatalf("%s serves on revision %d while %d is in force everywhere", e.name, e.agent.View().Revision, rev.Revision)
				}
			}
			if !r.partitioned && !rev.Everywhere && rev.Elapsed > maxInForceDelay {
				t.Fatalf("revision %d is not in force after %v; waiting for %v", rev.Revision, rev.Elapsed, rev.Waiting)
			}
		}
	}
	for vm := range m.replicas[m.leader].keeper.Snapshot().Drained {
		for _, e := range m.entries {
			if e.InProgress(vm) > 0 {
				t.Fatalf("%s has %d requests in progress on %s, which is said to be drained", e.name, e.InProgress(vm), vm)
			}
		}
	}
}

// TestInForce runs document changes, drains, requests, partitions, lost answers, restarts and changes of leader in
// random order and checks the invariants after each step.
func TestInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		m := newModel(ctx, t)
		anyEntry := func() *entryFake { return rapid.SampledFrom(m.entries).Draw(t, "entry") }
		tick := func(t *rapid.T) {
			for range rapid.IntRange(1, 8).Draw(t, "ticks") {
				if err := m.tick(tickInterval); err != nil {
					t.Fatal(err)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"tick":       tick,
			"tick again": tick,
			"announce":   m.announce,
			"document": func(*rapid.T) {
				m.commit(record.Command{Document: &record.DocumentChange{
					Environment: "production", BaseRevision: m.state().Document.Revision, Text: documentText(len(m.log)),
				}})
			},
			"vm":       m.changeVM,
			"request":  func(*rapid.T) { anyEntry().request() },
			"request2": func(*rapid.T) { anyEntry().request() },
			"finish":   func(*rapid.T) { clear(anyEntry().requests) },
			"cut": func(t *rapid.T) {
				e := anyEntry()
				e.partitioned = !e.partitioned
			},
			"deaf": func(t *rapid.T) {
				e := anyEntry()
				e.answersLost = !e.answersLost
			},
			"slow": func(t *rapid.T) {
				anyEntry().delay = time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			},
			"restart entry": func(*rapid.T) { anyEntry().restart() },
			"elect":         func(t *rapid.T) { m.elect(rapid.IntRange(0, 2).Draw(t, "leader")) },
			"freeze":        func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 700).Draw(t, "s")) * time.Second) },
			"":              m.checkInvariants,
		})
	})
}

// elect makes another replica the leader. The old leader is partitioned; if it already was, it returns as a restarted
// follower.
func (m *model) elect(leader int) {
	old := m.replicas[m.leader]
	if leader == m.leader {
		return
	}
	m.replicas[leader].partitioned = false
	m.replicas[leader].catchUp()
	m.leader = leader
	old.partitioned = !old.partitioned
	if !old.partitioned {
		old.restart()
	}
}

// TestRestartedEntryServesNothing checks that an entry serves no request until its own run has been granted a lease.
func TestRestartedEntryServesNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := newSimulation(ctx, 1, 1)
	e := s.entries[0]
	is.True(!e.serving())
	s.commit(record.Command{Document: &record.DocumentChange{Text: documentText(1)}})
	is.NoErr(s.tick(tickInterval))
	is.True(e.serving())
	e.restart()
	is.True(!e.serving())
	e.partitioned = true
	is.NoErr(s.tick(leaseDuration))
	is.True(!e.serving())
	e.partitioned = false
	is.NoErr(s.tick(tickInterval))
	is.True(e.serving())
	is.Equal(e.agent.View().Revision, uint64(1))
}
