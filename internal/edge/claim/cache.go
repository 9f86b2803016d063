package claim

import (
	"sync"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// State is the status of a request in an entry's cache; the zero value is StateAbsent.
type State int

const (
	// StateAbsent means that the entry has no record of the request.
	StateAbsent State = iota // absent
	// StateRunning means that the request has no outcome yet.
	StateRunning // running
	// StateAnswered means that the whole answer is stored.
	StateAnswered // answered
	// StateUnknown means that the request may have run, or that its answer was too long to store.
	StateUnknown // unknown
	// StateMismatch means that the key was used for a different request.
	StateMismatch // mismatch
)

// Header is one HTTP header of an answer.
type Header struct {
	Name string
	// Values are in the order in which they were received.
	Values []string
}

// Answer is a complete HTTP response, stored so that it can be replayed.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header holds the response headers.
	Header []Header
	// Body is the complete response body.
	Body []byte
}

// Recall is the stored result of a request; the zero value means that the request is not known.
type Recall struct {
	// State is the request's status; Answer is set only where it is StateAnswered.
	State State
	// Answer is the first answer to the request.
	Answer Answer
}

// trackedRequest is a running or ended request in the cache.
type trackedRequest struct {
	name   string
	digest string
	recall Recall
	// bytes is the request's share of Cache.bytes, 0 while it runs.
	bytes int
	// done closes once the request has an outcome.
	done chan struct{}
}

// requestOverheadBytes is the assumed memory of a request without its answer.
const requestOverheadBytes = 256

// Cache stores the running requests of an entry and the results of ended ones. It evicts the oldest ended requests
// beyond its limit in bytes and is safe for concurrent use.
type Cache struct {
	mu     sync.Mutex
	limit  int
	bytes  int
	byName map[string]*trackedRequest
	// ended holds the requests that have an outcome, oldest first.
	ended []*trackedRequest
}

// NewCache returns an empty cache that stores up to limit bytes of ended requests.
func NewCache(limit int) *Cache {
	return &Cache{limit: limit, byName: map[string]*trackedRequest{}}
}

// Begin registers a request as running. If the name is already registered, it returns false and the channel that
// closes once that request has an outcome.
func (c *Cache) Begin(name, digest string) (began bool, done <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.byName[name]; ok {
		return false, t.done
	}
	c.byName[name] = &trackedRequest{name: name, digest: digest, recall: Recall{State: StateRunning}, done: make(chan struct{})}
	return true, nil
}

// End sets the outcome of a running request and closes its channel. Only the states answered and unknown are stored;
// for any other the request is forgotten.
func (c *Cache) End(name string, r Recall) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.byName[name]
	if !ok || t.recall.State != StateRunning {
		return
	}
	close(t.done)
	if r.State != StateAnswered && r.State != StateUnknown {
		delete(c.byName, name)
		return
	}
	t.recall, t.bytes = r, requestOverheadBytes+len(r.Answer.Body)
	for _, h := range r.Answer.Header {
		t.bytes += len(h.Name)
		for _, v := range h.Values {
			t.bytes += len(v)
		}
	}
	c.bytes += t.bytes
	c.ended = append(c.ended, t)
	for c.bytes > c.limit && len(c.ended) > 0 {
		c.bytes -= c.ended[0].bytes
		delete(c.byName, c.ended[0].name)
		c.ended = c.ended[1:]
	}
	check.That(c.bytes >= 0 && c.bytes <= c.limit, "kept_answers_are_bounded", zap.Int("bytes", c.bytes), zap.Int("limit", c.limit))
}

// Recall returns the stored result of a request and the channel that closes once the request has an outcome. The
// channel is nil where the request is not known or the digest differs.
func (c *Cache) Recall(name, digest string) (Recall, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.byName[name]
	if !ok {
		return Recall{}, nil
	}
	if t.digest != digest {
		return Recall{State: StateMismatch}, nil
	}
	return t.recall, t.done
}

// Bytes returns the memory that the ended requests take, in bytes.
func (c *Cache) Bytes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bytes
}
