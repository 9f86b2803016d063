package retry

import "sync"

const (
	// costOfRetry is what one retry takes; each first attempt gives one, so that a tenth of the traffic may be retried.
	costOfRetry = 10
	// savedRetries bounds what a service without failures saves up.
	savedRetries = 20
)

// Budget is the retries that each service may make; it is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens map[string]int
}

// NewBudget returns a budget that allows no retry yet beyond the first few.
func NewBudget() *Budget {
	return &Budget{tokens: map[string]int{}}
}

// First counts a first attempt of a request to a known service.
func (b *Budget) First(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tokens, ok := b.tokens[service]
	if !ok {
		tokens = savedRetries * costOfRetry
	}
	b.tokens[service] = min(tokens+1, savedRetries*costOfRetry)
}

// Take allows one retry, or says that the budget is spent.
func (b *Budget) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens[service] < costOfRetry {
		return false
	}
	b.tokens[service] -= costOfRetry
	return true
}
