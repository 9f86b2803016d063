package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"cowslipstack/internal/model/fleet"
	"cowslipstack/internal/model/grant"
	"cowslipstack/internal/model/record"
	"cowslipstack/internal/wire/codec"
)

const benchTick = 10 * time.Millisecond

// BenchmarkInForce measures how long a revision takes to be in force on all of 11 entries, in the simulation's time.
func BenchmarkInForce(b *testing.B) {
	cases := []struct {
		name        string
		partitioned int
		delay       time.Duration
	}{
		{"all", 0, 2 * time.Millisecond},
		{"one_cut", 1, 2 * time.Millisecond},
		{"one_cut_slow", 1, 100 * time.Millisecond},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newSimulation(ctx, 1, 11)
			random := rand.New(rand.NewPCG(4, 4))
			for _, e := range s.entries {
				e.delay = c.delay
				e.nextRenewal = e.nextRenewal.Add(time.Duration(random.Int64N(int64(renewInterval))))
			}
			s.commit(record.Command{Document: &record.DocumentChange{Text: documentText(0)}})
			var sum, longest time.Duration
			for n := range b.N {
				elapsed := s.measureInForce(b, n, c.partitioned, random)
				sum, longest = sum+elapsed, max(longest, elapsed)
			}
			b.ReportMetric(sum.Seconds()/float64(b.N), "s/in_force")
			b.ReportMetric(longest.Seconds(), "s/in_force_max")
		})
	}
}

// measureInForce partitions the first entries, commits a document at a random time and returns how long it takes to be
// in force on all entries.
func (s *simulation) measureInForce(b *testing.B, n, partitioned int, random *rand.Rand) time.Duration {
	run := func(until func() bool) {
		for !until() {
			if err := s.tick(benchTick); err != nil {
				b.Fatal(err)
			}
		}
	}
	for _, e := range s.entries {
		e.partitioned = false
	}
	start := s.clock.Now().Add(2*renewInterval + time.Duration(random.Int64N(int64(renewInterval))))
	run(func() bool { return s.clock.Now().After(start) })
	for _, e := range s.entries[:partitioned] {
		e.partitioned = true
	}
	s.commit(record.Command{Document: &record.DocumentChange{BaseRevision: s.state().Document.Revision, Text: documentText(n + 1)}})
	revision := s.state().Document.Revision
	latest := func() (bool, time.Duration) {
		r := s.replicas[0].keeper.Snapshot().Revisions[0]
		return r.Revision == revision && r.Everywhere, r.Elapsed
	}
	run(func() bool { done, _ := latest(); return done })
	_, elapsed := latest()
	return elapsed
}

// BenchmarkRenewal measures the time of one renewal in the leader's keeper and the size of its messages, by the number
// of VMs.
func BenchmarkRenewal(b *testing.B) {
	for _, vms := range []int{0, 130, 1300} {
		b.Run(fmt.Sprint("vms_", vms), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newSimulation(ctx, 1, 11)
			s.commit(record.Command{Document: &record.DocumentChange{Text: documentText(0)}})
			for i := range vms {
				s.commit(record.Command{VM: &record.VMChange{Step: record.VMJoin, VM: fmt.Sprint("vm-", i), Pool: "depot"}})
			}
			if err := s.tick(renewInterval); err != nil {
				b.Fatal(err)
			}
			r := grant.Renewal{Entry: "entry-0", Incarnation: 1, Lease: leaseDuration, Revision: 1, LogIndex: s.state().Applied}
			var sent, received int
			b.ResetTimer()
			for n := range b.N {
				if vms > 0 {
					// Change the state before each renewal, so that the grant carries a change.
					v := s.state().VMs[fmt.Sprint("vm-", n%vms)]
					step := record.VMDrain
					if v.Phase == fleet.PhaseDraining {
						step = record.VMActivate
					}
					s.commit(record.Command{VM: &record.VMChange{Step: step, VM: v.Name, Epoch: v.Epoch, Pool: v.Pool}})
				}
				g, err := s.replicas[0].keeper.Renew(ctx, r)
				if err != nil {
					b.Fatal(err)
				}
				r.LogIndex = g.LogIndex
				sent += proto.Size(codec.RenewalToWire(r))
				received += proto.Size(codec.GrantToWire(g))
			}
			b.ReportMetric(float64(sent)/float64(b.N), "B/renewal")
			b.ReportMetric(float64(received)/float64(b.N), "B/grant")
		})
	}
}
