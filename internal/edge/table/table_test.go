package table_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipstack/internal/base/tests"
	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/fleet"
)

const ttl = 10 * time.Second

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) {
	tests.SetFlags(map[string]string{"rapid.seed": "4"})
	os.Exit(m.Run())
}

func announcement(n, slots int, sequence uint64, now time.Time) fleet.Endpoint {
	return fleet.Endpoint{
		Service: fmt.Sprint("service-", n%3), Name: fmt.Sprint("runner-", n), Address: "127.0.0.1:1",
		VM: fmt.Sprint("vm-", n), Slots: slots, Sequence: sequence, Expires: now.Add(ttl),
	}
}

// compare runs the anti-entropy exchange that two entries make once a second.
func compare(a, b *table.Table, now time.Time) {
	if a.Root() == b.Root() {
		return
	}
	buckets := a.DifferingBuckets(b.BucketDigests())
	own, theirs := a.InBuckets(buckets), b.InBuckets(buckets)
	for _, e := range own {
		b.Merge(e, now)
	}
	for _, e := range theirs {
		a.Merge(e, now)
	}
}

// TestTables spreads announcements with loss, duplication and reordering. After anti-entropy all tables must agree on
// the last announcement of each endpoint, and no endpoint that left may be back.
func TestTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		tables := []*table.Table{table.New(), table.New(), table.New()}
		any := func() *table.Table { return rapid.SampledFrom(tables).Draw(t, "table") }
		last := map[string]fleet.Endpoint{}
		left := map[string]bool{}
		var sent []fleet.Endpoint
		sequence := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				sequence++
				e := announcement(rapid.IntRange(0, 9).Draw(t, "endpoint"), rapid.IntRange(1, 3).Draw(t, "slots"), sequence, now)
				e.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				if e.Leaving {
					e.Expires = now.Add(table.TombstoneTTL)
				}
				any().Merge(e, now)
				sent = append(sent, e)
				left[e.Key()] = left[e.Key()] || e.Leaving
				last[e.Key()] = e
			case 2, 3:
				if len(sent) > 0 {
					any().Merge(rapid.SampledFrom(sent).Draw(t, "share"), now)
				}
			case 4:
				if len(sent) > 0 {
					any().Refresh(table.Refresh{ID: table.ID(rapid.SampledFrom(sent).Draw(t, "refresh")), TTL: ttl}, now)
				}
			default:
				compare(any(), any(), now)
			}
		}
		compare(tables[0], tables[1], now)
		compare(tables[1], tables[2], now)
		compare(tables[0], tables[1], now)
		for _, tb := range tables {
			if tb.Root() != tables[0].Root() {
				t.Fatalf("the tables differ: %v and %v", tb.All(), tables[0].All())
			}
			for _, e := range tb.All() {
				if e.Leaving != left[e.Key()] || (!e.Leaving && e.Slots != last[e.Key()].Slots) {
					t.Fatalf("table has %v, last announcement %v, left %v", e, last[e.Key()], left[e.Key()])
				}
			}
		}
	})
}

// TestExpire checks that endpoints expire, that refreshes extend their expiry, and that a tombstone outlives a late
// announcement.
func TestExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	tb := table.New()
	one, two := announcement(1, 8, 1, now), announcement(2, 8, 1, now)
	is.Equal(tb.Merge(one, now), table.ChangeMade)
	is.Equal(tb.Merge(two, now), table.ChangeMade)
	gone := announcement(2, 8, 2, now)
	gone.Leaving, gone.Expires = true, now.Add(table.TombstoneTTL)
	is.Equal(tb.Merge(gone, now), table.ChangeMade)

	now = now.Add(ttl - time.Second)
	_, known := tb.Refresh(table.Refresh{ID: table.ID(one), TTL: ttl}, now)
	is.True(known)
	_, known = tb.Refresh(table.Refresh{ID: table.ID(two), TTL: ttl}, now)
	is.True(!known)
	now = now.Add(2 * time.Second)
	is.Equal(len(tb.Expire(now)), 0)
	is.Equal(tb.Merge(announcement(2, 8, 99, now), now), table.ChangeNone)
	now = now.Add(ttl)
	is.Equal(len(tb.Expire(now)), 1)
	is.Equal(tb.Len(), 1)
	is.Equal(len(tb.Service("service-2")), 0)
	now = now.Add(table.TombstoneTTL)
	is.Equal(len(tb.Expire(now)), 1)
	is.Equal(tb.Root(), table.New().Root())
}

// TestBound checks that a table refuses endpoints beyond MaxEndpoints but still accepts changes to known ones.
func TestBound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	tb := table.New()
	for n := range table.MaxEndpoints {
		tb.Merge(announcement(n, 8, 1, now), now)
	}
	is.Equal(tb.Merge(announcement(table.MaxEndpoints, 8, 1, now), now), table.ChangeRefused)
	is.Equal(tb.Merge(announcement(1, 4, 2, now), now), table.ChangeMade)
	is.Equal(tb.Len(), table.MaxEndpoints)
}
