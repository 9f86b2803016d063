package budget

import "time"

// Plan holds what the limits of a budget are derived from.
type Plan struct {
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// Percent is the share of the memory that bodies may take.
	Percent int64
	// Share is the share of each class in that, in percent.
	Share map[Class]int64
	// Largest is what the largest legal body of each class takes, with the copies that decoding makes.
	Largest map[Class]int64
	// ClientPercent is the share of a partition that one client address may hold, in percent.
	ClientPercent map[Class]int64
	// SmallBytes and MinStall are as in Limits.
	SmallBytes int64
	MinStall   time.Duration
}

// maxPercent bounds the share of the memory that bodies may take where the largest legal bodies need more than Percent.
const maxPercent = 60

// Derive returns the limits of each class: its share of the budget, or what its largest body needs if that is more. Where
// the sum exceeds maxPercent of the memory, all are reduced in proportion.
func Derive(p Plan) map[Class]Limits {
	sizes := map[Class]int64{}
	sum := int64(0)
	for _, c := range Classes() {
		// A large body can't use the part of a partition that is kept for small ones.
		sizes[c] = max(p.MemoryBytes*p.Percent/100*p.Share[c]/100, p.Largest[c]*smallShare/(smallShare-1))
		sum += sizes[c]
	}
	most := p.MemoryBytes / 100 * maxPercent
	limits := map[Class]Limits{}
	for c, size := range sizes {
		if sum > most {
			size = int64(float64(size) * float64(most) / float64(sum))
		}
		limits[c] = Limits{Bytes: size, ClientBytes: size * p.ClientPercent[c] / 100, SmallBytes: p.SmallBytes, MinStall: p.MinStall}
	}
	return limits
}

// ShareConnections returns how many connections each listener may have, of those available: what is wanted, or, where that
// is too much, a part in proportion, but at least one.
func ShareConnections(wanted []int, available int) []int {
	sum := 0
	for _, n := range wanted {
		sum += n
	}
	shares := make([]int, len(wanted))
	for i, n := range wanted {
		if sum > available {
			n = max(1, n*available/sum)
		}
		shares[i] = n
	}
	return shares
}
