package table_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cowslipstack/internal/edge/table"
	"cowslipstack/internal/model/fleet"
)

const ttl = 10 * time.Second

func TestMain(m *testing.M) {
	flag.Parse()
	// A seed given on the command line goes before the fixed one.
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("4"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func announcement(n, slots int, sequence uint64, now time.Time) fleet.Endpoint {
	return fleet.Endpoint{
		Service: fmt.Sprint("service-", n%3), Name: fmt.Sprint("runner-", n), Address: "127.0.0.1:1",
		VM: fmt.Sprint("vm-", n), Slots: slots, Sequence: sequence, Expires: now.Add(ttl),
	}
}

// compare does what two entries do once a second.
func compare(a, b *table.Table, now time.Time) {
	if a.Root() == b.Root() {
		return
	}
	buckets := a.Differing(b.Buckets())
	own, theirs := a.Held(buckets), b.Held(buckets)
	for _, e := range own {
		b.Merge(e, now)
	}
	for _, e := range theirs {
		a.Merge(e, now)
	}
}

// TestTables spreads announcements with loss, doubling and reordering: after comparisons all tables agree,
// on the last announcement of each endpoint, and none that left has come back.
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
					e.Expires = now.Add(table.LeftKept)
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
		for _, b := range tables {
			if b.Root() != tables[0].Root() {
				t.Fatalf("the tables differ: %v and %v", b.All(), tables[0].All())
			}
			for _, e := range b.All() {
				if e.Leaving != left[e.Key()] || (!e.Leaving && e.Slots != last[e.Key()].Slots) {
					t.Fatalf("held %v, announced last %v, left %v", e, last[e.Key()], left[e.Key()])
				}
			}
		}
	})
}

// TestLapse checks that lives end, that refreshes extend them, and that an endpoint which left is
// remembered longer than a late announcement can take.
func TestLapse(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	b := table.New()
	one, two := announcement(1, 8, 1, now), announcement(2, 8, 1, now)
	is.Equal(b.Merge(one, now), table.ChangeMade)
	is.Equal(b.Merge(two, now), table.ChangeMade)
	gone := announcement(2, 8, 2, now)
	gone.Leaving, gone.Expires = true, now.Add(table.LeftKept)
	is.Equal(b.Merge(gone, now), table.ChangeMade)

	now = now.Add(ttl - time.Second)
	_, known := b.Refresh(table.Refresh{ID: table.ID(one), TTL: ttl}, now)
	is.True(known)
	_, known = b.Refresh(table.Refresh{ID: table.ID(two), TTL: ttl}, now)
	is.True(!known)
	now = now.Add(2 * time.Second)
	is.Equal(len(b.Lapse(now)), 0)
	is.Equal(b.Merge(announcement(2, 8, 99, now), now), table.ChangeNone)
	now = now.Add(ttl)
	is.Equal(len(b.Lapse(now)), 1)
	is.Equal(b.Len(), 1)
	is.Equal(len(b.Service("service-2")), 0)
	now = now.Add(table.LeftKept)
	is.Equal(len(b.Lapse(now)), 1)
	is.Equal(b.Root(), table.New().Root())
}

// TestBound checks that a table takes no more endpoints than it may hold.
func TestBound(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	b := table.New()
	for n := range table.MaxEndpoints {
		b.Merge(announcement(n, 8, 1, now), now)
	}
	is.Equal(b.Merge(announcement(table.MaxEndpoints, 8, 1, now), now), table.ChangeRefused)
	is.Equal(b.Merge(announcement(1, 4, 2, now), now), table.ChangeMade)
	is.Equal(b.Len(), table.MaxEndpoints)
}
