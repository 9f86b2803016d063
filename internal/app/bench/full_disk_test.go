package bench

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"cowslipstack/internal/ctrl/quorum"
)

const (
	// fullRounds is how often each disk of the group becomes full.
	fullRounds = 2
	// commitsWhileFull is the number of commands that are committed while a disk is full; it exceeds turnSnapshotEntries.
	commitsWhileFull    = 3 * turnSnapshotEntries
	turnSnapshotEntries = 32
	// commitAfterFull bounds a commit after the last disk has room again.
	commitAfterFull = 2 * time.Second
	// maxFolderBytes bounds a data folder at the end; the log since the last snapshot takes a small part of it.
	maxFolderBytes = 1 << 20
)

// TestFullDisksInTurnStopGroup guards against a group that commits nothing for good after each of its disks was full for a
// while, one after another.
func TestFullDisksInTurnStopGroup(t *testing.T) {
	for _, names := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d", "e"}} {
		for _, full := range []refusal{{cause: syscall.ENOSPC}, {cause: syscall.EDQUOT}, {cause: syscall.ENOSPC, atSync: true}} {
			t.Run(fmt.Sprintf("%d replicas, %v, at sync %t", len(names), full.cause, full.atSync), func(t *testing.T) {
				testFullDisksInTurn(t, names, full)
			})
		}
	}
}

func testFullDisksInTurn(t *testing.T, names []string, full refusal) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
	defer cancel()
	n := startGroupInMemory(t, names, turnSnapshotEntries)
	w := &turnWriter{network: n}
	members := n.leader(t).members(t)
	for range fullRounds {
		// The leader's disk is the first of each round.
		leader := n.leader(t)
		turn := []*replica{leader}
		for _, r := range n.nodes {
			if r != leader {
				turn = append(turn, r)
			}
		}
		for _, r := range turn {
			r.folder.setFull(full)
			for r.folder.refusedSoFar() == 0 || w.committed.Load() < commitsWhileFull {
				if err := w.commit(ctx, t); err != nil {
					t.Fatalf("with the disk of %s full: %v", r.name, err)
				}
			}
			r.folder.setFull(refusal{})
			w.committed.Store(0)
		}
	}
	soon, stop := context.WithTimeout(ctx, commitAfterFull)
	defer stop()
	is.NoErr(w.commit(soon, t))
	for _, r := range n.nodes {
		waitUntil(ctx, t, r.name+" holds all records", func() bool { return requestCount(t, r) == w.next })
		waitUntil(ctx, t, r.name+" has no temporary file", func() bool { return !r.folder.hasTemporary() })
		is.Equal(r.members(t), members)
		is.True(r.folder.bytes() < maxFolderBytes)
	}
}

// waitUntil polls until a condition holds; the test fails if the context ends before.
func waitUntil(ctx context.Context, tb testing.TB, what string, holds func() bool) {
	tb.Helper()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for !holds() {
		select {
		case <-ctx.Done():
			tb.Fatalf("not in time: %s", what)
		case <-ticker.C:
		}
	}
}

// turnWriter commits test commands one after another.
type turnWriter struct {
	network *network
	next    int
	// committed counts the commands committed since it was last set to zero.
	committed atomic.Int64
}

// commit commits the next command at whichever replica leads, and repeats it until it is accepted or the context ends.
func (w *turnWriter) commit(ctx context.Context, tb testing.TB) error {
	tb.Helper()
	for {
		_, err := w.network.leader(tb).node.Submit(ctx, claim(w.next))
		if err == nil {
			w.next++
			w.committed.Add(1)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
	}
}

// members returns the members that the replica knows, sorted by name.
func (r *replica) members(tb testing.TB) []quorum.Member {
	tb.Helper()
	info, err := r.node.Hello(tb.Context())
	if err != nil {
		tb.Fatal(err)
	}
	return slices.SortedFunc(slices.Values(info.Members), func(a, b quorum.Member) int { return int(a.Name[0]) - int(b.Name[0]) })
}

// TestStopWithFullDiskIsFailure guards against a planned stop that is reported as a failed disk because the disk is full.
func TestStopWithFullDiskIsFailure(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), faultTimeout)
	defer cancel()
	n := startGroupInMemory(t, []string{"a", "b", "c"}, turnSnapshotEntries)
	w := &turnWriter{network: n}
	leader := n.leader(t)
	leader.folder.setFull(refusal{cause: syscall.ENOSPC})
	for leader.folder.refusedSoFar() == 0 {
		is.NoErr(w.commit(ctx, t))
	}
	failures := metrics.GetOrCreateCounter("cowslip_control_disk_failures_total")
	before := failures.Get()
	is.NoErr(leader.tasks.Stop())
	is.Equal(failures.Get(), before)
}
