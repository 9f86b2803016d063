package route

import "sync"

// Counter counts requests in progress by endpoint; it is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewCounter returns a counter at zero.
func NewCounter() *Counter {
	return &Counter{counts: map[string]int{}}
}

// InProgress returns the count of an endpoint.
func (c *Counter) InProgress(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[key]
}

// Add adds to the count of an endpoint; a count of zero takes no memory.
func (c *Counter) Add(key string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[key] += n
	if c.counts[key] == 0 {
		delete(c.counts, key)
	}
}
