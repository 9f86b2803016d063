package claim

import (
	"sync"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// State is the status of a request in an entry's memory; the zero value is StateAbsent.
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

// trackedRequest is a running or ended request in the memory.
type trackedRequest struct {
	name   string
	digest string
	recall Recall
	// bytes is the request's share of Memory.bytes, 0 while it runs.
	bytes int
	// done closes once the request has an outcome.
	done chan struct{}
}

// requestOverheadBytes is the assumed memory of a request without its answer.
const requestOverheadBytes = 256

// Memory stores the running requests of an entry and the results of ended ones. It evicts the oldest ended requests
// beyond its limit in bytes and is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	limit  int
	bytes  int
	byName map[string]*trackedRequest
	// ended holds the requests that have an outcome, oldest first.
	ended []*trackedRequest
}

// NewMemory returns an empty memory that stores up to limit bytes of ended requests.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, byName: map[string]*trackedRequest{}}
}

// Begin registers a request as running. If the name is already registered, it returns false and the channel that
// closes once that request has an outcome.
func (m *Memory) Begin(name, digest string) (began bool, done <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.byName[name]; ok {
		return false, t.done
	}
	m.byName[name] = &trackedRequest{name: name, digest: digest, recall: Recall{State: StateRunning}, done: make(chan struct{})}
	return true, nil
}

// End sets the outcome of a running request and closes its channel. Only the states answered and unknown are stored;
// for any other the request is forgotten.
func (m *Memory) End(name string, r Recall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.byName[name]
	if !ok || t.recall.State != StateRunning {
		return
	}
	close(t.done)
	if r.State != StateAnswered && r.State != StateUnknown {
		delete(m.byName, name)
		return
	}
	t.recall, t.bytes = r, requestOverheadBytes+len(r.Answer.Body)
	for _, h := range r.Answer.Header {
		t.bytes += len(h.Name)
		for _, v := range h.Values {
			t.bytes += len(v)
		}
	}
	m.bytes += t.bytes
	m.ended = append(m.ended, t)
	for m.bytes > m.limit && len(m.ended) > 0 {
		m.bytes -= m.ended[0].bytes
		delete(m.byName, m.ended[0].name)
		m.ended = m.ended[1:]
	}
	check.That(m.bytes >= 0 && m.bytes <= m.limit, "kept_answers_are_bounded", zap.Int("bytes", m.bytes), zap.Int("limit", m.limit))
}

// Recall returns the stored result of a request and the channel that closes once the request has an outcome. The
// channel is nil where the request is not known or the digest differs.
func (m *Memory) Recall(name, digest string) (Recall, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, ok := m.byName[name]
	if !ok {
		return Recall{}, nil
	}
	if t.digest != digest {
		return Recall{State: StateMismatch}, nil
	}
	return t.recall, t.done
}

// Bytes returns the memory that the ended requests take, in bytes.
func (m *Memory) Bytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}
