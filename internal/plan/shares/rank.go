package shares

import (
	"slices"

	"cowslipstack/internal/plan/order"
)

// Job is a job that waits for room beside others.
type Job struct {
	// Item orders the job; its rank is set.
	Item *order.Item
	// Account is the client account of the job; empty for none.
	Account string
	// WorkMs is its remaining work, in core-milliseconds.
	WorkMs float64
}

// size is a range of the work of jobs, against the mean of their queue.
type size int

const (
	small size = iota
	medium
	large
	sizes
)

const (
	// mediumPart and largePart are the parts of the mean work of its queue from which a job counts as medium and large.
	mediumPart = 0.5
	largePart  = 2
)

func sizeOf(i *order.Item) size {
	switch part := float64(i.TotalWorkMs) / float64(max(1, i.QueueMeanMs)); {
	case part < mediumPart:
		return small
	case part < largePart:
		return medium
	default:
		return large
	}
}

// Weights are the weights of accounts by name.
type Weights map[string]float64

// Of returns the weight of an account; jobs without an account, or of one that isn't known, have the mean weight.
func (w Weights) Of(account string) float64 {
	if weight, known := w[account]; known {
		return weight
	}
	if len(w) == 0 {
		return 1
	}
	sum := 0.0
	for _, weight := range w {
		sum += weight
	}
	return sum / float64(len(w))
}

// minWeight stands for a weight of 0: such an account has what the others leave.
const minWeight = 1e-6

// farBeyond is how many times the work that can be done in time there has to be before jobs are ranked. Where there is less, the
// jobs that have to be late are few, and the order by value per work leaves out those whose work is worth least.
const farBeyond = 2

// Rank sets the ranks of jobs that compete for the room of a pool, if most of them can't be done in time: for each job, the work of its
// account that goes before it or is under way at present, and half its own, for the account's weight. roomMs is the work that can be done by the
// time at which theirs is due on average. Rank returns the ranks of the next job of each account, nil if there is room for most.
//
// It answers a load above the room for which one account asks for many times its usual, or large jobs come with many small
// ones. An account's first job comes before another one's thousandth, whatever came first. Among the jobs of an account the sizes
// take turns by their work: small jobs don't wait behind large ones, and large ones get their part, though each of them is worth
// less for its work.
func Rank(jobs []Job, running map[string]float64, weights Weights, roomMs float64) map[string]float64 {
	total := 0.0
	byAccount := map[string][]*Job{}
	for i := range jobs {
		jobs[i].Item.Rank = 0
		total += jobs[i].WorkMs
		byAccount[jobs[i].Account] = append(byAccount[jobs[i].Account], &jobs[i])
	}
	if total <= farBeyond*roomMs {
		return nil
	}
	next := make(map[string]float64, len(byAccount))
	for account, own := range byAccount {
		weight := max(minWeight, weights.Of(account))
		done := running[account]
		for _, j := range takeTurns(own) {
			j.Item.Rank = (done + j.WorkMs/2) / weight
			done += j.WorkMs
		}
		next[account] = done / weight
	}
	return next
}

// takeTurns returns the jobs of an account in the order in which they get room.
func takeTurns(jobs []*Job) []*Job {
	var bySize [sizes][]*Job
	for _, j := range jobs {
		n := sizeOf(j.Item)
		bySize[n] = append(bySize[n], j)
	}
	for _, list := range bySize {
		slices.SortFunc(list, func(a, b *Job) int { return order.Compare(a.Item, b.Item) })
	}
	ordered := make([]*Job, 0, len(jobs))
	var taken [sizes]float64
	for len(ordered) < len(jobs) {
		least := size(-1)
		for n := range sizes {
			if len(bySize[n]) > 0 && (least < 0 || taken[n] < taken[least]) {
				least = n
			}
		}
		j := bySize[least][0]
		bySize[least] = bySize[least][1:]
		taken[least] += j.WorkMs
		ordered = append(ordered, j)
	}
	return ordered
}
