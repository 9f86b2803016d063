package retry

import "sync"

const (
	// retryCost is the tokens that one retry takes. Each first attempt adds one token, so that a tenth of the traffic
	// may be retried.
	retryCost = 10
	// maxSavedRetries is the capacity of a service's token bucket, in retries.
	maxSavedRetries = 20
)

// Budget is a retry budget with a token bucket for each service; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]int
}

// NewBudget returns a budget in which each service starts with a full bucket at its first attempt.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]int{}}
}

// RecordAttempt adds a token for the first attempt of a request. The service must be a known one, since its bucket is
// never removed.
func (b *Budget) RecordAttempt(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = maxSavedRetries * retryCost
	}
	b.tokens[service] = min(tokens+1, maxSavedRetries*retryCost)
}

// Take takes the tokens for one retry; it returns false if the bucket holds too few.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < retryCost {
		return false
	}
	b.tokens[service] -= retryCost
	return true
}
