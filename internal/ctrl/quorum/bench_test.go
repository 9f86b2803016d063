package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// BenchmarkNewLeaderTicks reports the ticks of 50 ms from the loss of a leader until another one has committed an entry
// of its term.
func BenchmarkNewLeaderTicks(b *testing.B) {
	faults := map[string]func(*group, *host){
		"kill": func(g *group, h *host) { g.crash(h, 0) },
		"cut": func(g *group, h *host) {
			for _, o := range g.hosts {
				g.blocked[[2]ReplicaID{h.id, o.id}], g.blocked[[2]ReplicaID{o.id, h.id}] = true, true
			}
		},
		"deaf": func(g *group, h *host) {
			for _, o := range g.hosts {
				g.blocked[[2]ReplicaID{o.id, h.id}] = true
			}
		},
	}
	for _, name := range []string{"kill", "cut", "deaf"} {
		for _, size := range []int{3, 5} {
			b.Run(fmt.Sprintf("%s/replicas=%d", name, size), func(b *testing.B) {
				var all []int
				for i := range b.N {
					all = append(all, ticksToNewLeader(uint64(i), size, faults[name]))
				}
				slices.Sort(all)
				b.ReportMetric(float64(all[len(all)/2]), "p50_ticks")
				b.ReportMetric(float64(all[len(all)*99/100]), "p99_ticks")
				b.ReportMetric(float64(all[len(all)-1]), "max_ticks")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func ticksToNewLeader(seed uint64, size int, fault func(*group, *host)) int {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &script{newGroup([]string{"a", "b", "c", "d", "e"}[:size]...)}
	for _, h := range s.hosts {
		h.random = rand.New(rand.NewPCG(seed, uint64(h.id)))
		s.start(h)
	}
	first := s.hosts[0]
	first.replica.preCampaign()
	s.handle(first)
	for range 1 + r.IntN(4*testHeartbeat) {
		s.tickOnce()
	}
	fault(s.group, first)
	for ticks := 0; ; ticks++ {
		for _, h := range s.hosts[1:] {
			if h.replica.Role() == RoleLeader && h.replica.committedInTerm() {
				return ticks
			}
		}
		s.tickOnce()
	}
}
