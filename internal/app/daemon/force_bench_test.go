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

const benchStep = 10 * time.Millisecond

// BenchmarkInForce tells how long a revision takes to be in force over 11 entries, in time of the test's clock.
func BenchmarkInForce(b *testing.B) {
	cases := []struct {
		name string
		cut  int
		slow time.Duration
	}{
		{"all", 0, 2 * time.Millisecond},
		{"one_cut", 1, 2 * time.Millisecond},
		{"one_cut_slow", 1, 100 * time.Millisecond},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newSite(ctx, 1, 11)
			random := rand.New(rand.NewPCG(4, 4))
			for _, e := range s.entries {
				e.slow = c.slow
				e.next = e.next.Add(time.Duration(random.Int64N(int64(siteRenew))))
			}
			s.commit(record.Command{Document: &record.DocumentChange{Text: documentText(0)}})
			var sum, most time.Duration
			for n := range b.N {
				elapsed := s.measureForce(b, n, c.cut, random)
				sum, most = sum+elapsed, max(most, elapsed)
			}
			b.ReportMetric(sum.Seconds()/float64(b.N), "s/in_force")
			b.ReportMetric(most.Seconds(), "s/in_force_max")
		})
	}
}

// measureForce commits a document at a random time, as the first entries are cut off, and waits for it to be in force.
func (s *site) measureForce(b *testing.B, n, cut int, random *rand.Rand) time.Duration {
	run := func(until func() bool) {
		for !until() {
			if err := s.tick(benchStep); err != nil {
				b.Fatal(err)
			}
		}
	}
	for _, e := range s.entries {
		e.cut = false
	}
	begin := s.clock.Now().Add(2*siteRenew + time.Duration(random.Int64N(int64(siteRenew))))
	run(func() bool { return s.clock.Now().After(begin) })
	for _, e := range s.entries[:cut] {
		e.cut = true
	}
	s.commit(record.Command{Document: &record.DocumentChange{BaseRevision: s.state().Document.Revision, Text: documentText(n + 1)}})
	revision := s.state().Document.Revision
	first := func() (bool, time.Duration) {
		f := s.replicas[0].keeper.Snapshot().Revisions[0]
		return f.Revision == revision && f.Everywhere, f.Elapsed
	}
	run(func() bool { done, _ := first(); return done })
	_, elapsed := first()
	return elapsed
}

// BenchmarkRenewal tells what one renewal costs the leader's keeper and its messages, by the count of VMs.
func BenchmarkRenewal(b *testing.B) {
	for _, vms := range []int{0, 130, 1300} {
		b.Run(fmt.Sprint("vms_", vms), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			s := newSite(ctx, 1, 11)
			s.commit(record.Command{Document: &record.DocumentChange{Text: documentText(0)}})
			for i := range vms {
				s.commit(record.Command{VM: &record.VMChange{Step: record.VMJoin, VM: fmt.Sprint("vm-", i), Pool: "depot"}})
			}
			if err := s.tick(siteRenew); err != nil {
				b.Fatal(err)
			}
			r := grant.Renewal{Entry: "entry-0", Incarnation: 1, Lease: siteLease, Revision: 1, LogIndex: s.state().Applied}
			var sent, received int
			b.ResetTimer()
			for n := range b.N {
				if vms > 0 {
					// Something in the state changes before each renewal.
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
