package bench

import (
	"context"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"cowslipstack/internal/ctrl/node"
	"cowslipstack/internal/ctrl/quorum"
	"cowslipstack/internal/ctrl/state"
	"cowslipstack/internal/ctrl/store"
	"cowslipstack/internal/model/record"
)

// faultTimeout bounds each test.
const faultTimeout = time.Minute

// testDisk is a disk with injected faults: when broken, it fails each write with EIO; while full, it keeps writes in
// pending and fails with quorum.ErrFull, and the first write after that saves the pending ones too.
type testDisk struct {
	*store.Log
	broken, full atomic.Bool
	pending      []quorum.Write
}

func (d *testDisk) Save(writes []quorum.Write) error {
	if d.broken.Load() {
		return syscall.EIO
	}
	d.pending = append(d.pending, writes...)
	if d.full.Load() {
		return errors.Mark(syscall.ENOSPC, quorum.ErrFull)
	}
	writes, d.pending = d.pending, nil
	return d.Log.Save(writes)
}

// requestCount returns how many requests the replica's state has results of.
func requestCount(t *testing.T, r *replica) int {
	t.Helper()
	var count int
	if err := r.node.View(t.Context(), func(s *state.State) { count = len(s.Requests) }); err != nil {
		t.Fatal(err)
	}
	return count
}

// TestBrokenDisk checks that a leader whose disk fails acknowledges nothing more and returns the disk's error, and that
// another replica takes over with all records.
func TestBrokenDisk(t *testing.T) {
	is := is.New(t)
	n := startGroup(t, []string{"one", "two", "three"}, true)
	ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
	defer cancel()
	old := n.leader(t)
	_, err := old.node.Submit(ctx, claim(1))
	is.NoErr(err)
	old.disk.broken.Store(true)
	_, err = old.node.Submit(ctx, claim(2))
	if err == nil {
		// The two followers are a quorum and had already synced the record.
		_, err = old.node.Submit(ctx, claim(3))
	}
	for err == nil {
		_, err = old.node.Submit(ctx, claim(4))
	}
	is.True(errors.Is(err, syscall.EIO)) // the error names the cause
	next := n.leader(t)
	is.True(next != old)
	_, err = next.node.Submit(ctx, claim(1))
	is.NoErr(err)
	is.True(requestCount(t, next) >= 1)
}

// TestFullDisks checks that commits continue with one full disk of three, stop with two, and that every accepted record
// is acknowledged once there is space again.
func TestFullDisks(t *testing.T) {
	is := is.New(t)
	n := startGroup(t, []string{"one", "two", "three"}, true)
	ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
	defer cancel()
	leader := n.leader(t)
	leader.disk.full.Store(true)
	_, err := leader.node.Submit(ctx, claim(1))
	is.NoErr(err) // the two other replicas are a quorum
	var other *replica
	for _, r := range n.nodes {
		if r != leader {
			other = r
		}
	}
	other.disk.full.Store(true)
	results := make(chan error, 1)
	go func() {
		_, err := leader.node.Submit(ctx, claim(2))
		results <- err
	}()
	is.True(errors.Is(leader.node.Confirm(ctx), nil)) // it is still the leader
	select {
	case err := <-results:
		t.Fatalf("acknowledged with one disk of three: %v", err)
	case <-time.After(2 * benchTick * benchElection):
	}
	leader.disk.full.Store(false)
	is.NoErr(<-results)
	other.disk.full.Store(false)
	is.Equal(requestCount(t, n.leader(t)), 2)
}

// TestDeposed partitions the leader while proposals and reads are pending: each must end with node.ErrUnknown, none may
// hang.
func TestDeposed(t *testing.T) {
	is := is.New(t)
	n := startGroup(t, []string{"one", "two", "three"}, true)
	ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
	defer cancel()
	old := n.leader(t)
	n.setCut(old.id, true)
	results := make(chan error, 2)
	go func() {
		_, err := old.node.Submit(ctx, claim(1))
		results <- err
	}()
	go func() { results <- old.node.Confirm(ctx) }()
	for range 2 {
		is.True(errors.Is(<-results, node.ErrUnknown))
	}
	next := n.leader(t)
	is.True(next != old)
	result, err := next.node.Submit(ctx, claim(1))
	is.NoErr(err)
	is.Equal(result.Code, record.CodeOK) // the old leader's proposal was not applied
	n.setCut(old.id, false)
	var notLeader *node.NotLeaderError
	_, err = old.node.Submit(ctx, claim(2))
	is.True(errors.As(err, &notLeader))
}

// TestHandOver checks that another replica leads after the leader hands over its leadership.
func TestHandOver(t *testing.T) {
	is := is.New(t)
	n := startGroup(t, []string{"one", "two", "three"}, true)
	old := n.leader(t)
	is.NoErr(old.node.HandOver(t.Context()))
	is.True(n.leader(t) != old)
}
