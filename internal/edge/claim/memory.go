package claim

import (
	"sync"

	"go.uber.org/zap"

	"cowslipstack/internal/base/check"
)

// State is what an entry knows of a request that it took on; the zero value means that it knows nothing.
type State int

const (
	// StateAbsent means that the entry knows nothing of the request.
	StateAbsent State = iota // absent
	// StateRunning means that the request has no outcome yet.
	StateRunning // running
	// StateAnswered means that the whole answer is remembered.
	StateAnswered // answered
	// StateUnknown means that the request may have run, or that its answer was too long to remember.
	StateUnknown // unknown
	// StateMismatch means that the key stands for another request.
	StateMismatch // mismatch
)

// Header is one header of an answer.
type Header struct {
	// Name is the header's name.
	Name string
	// Values are its values.
	Values []string
}

// Answer is a whole answer as it is given again.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Header are the headers.
	Header []Header
	// Body is the whole body.
	Body []byte
}

// Recall is what an entry tells of a request that it took on.
type Recall struct {
	// State says whether the answer is held.
	State State
	// Answer is the first answer where the state is answered.
	Answer Answer
}

// kept is one request in the memory.
type kept struct {
	name   string
	digest string
	recall Recall
	bytes  int
	done   chan struct{}
}

// keptBytes is what a request takes beside its answer.
const keptBytes = 256

// Memory keeps the requests that an entry took on, the oldest ended ones only while there is room; it is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	limit  int
	bytes  int
	byName map[string]*kept
	// ended are the requests that have an outcome, oldest first.
	ended []*kept
}

// NewMemory returns a memory that holds up to limit bytes of ended requests.
func NewMemory(limit int) *Memory {
	return &Memory{limit: limit, byName: map[string]*kept{}}
}

// Begin takes a request on, or returns the channel that closes once the known one has an outcome.
func (m *Memory) Begin(name, digest string) (began bool, done <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if k, ok := m.byName[name]; ok {
		return false, k.done
	}
	m.byName[name] = &kept{name: name, digest: digest, recall: Recall{State: StateRunning}, done: make(chan struct{})}
	return true, nil
}

// End gives a request that was begun its outcome; only answered and unknown ones are remembered.
func (m *Memory) End(name string, r Recall) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.byName[name]
	if !ok || k.recall.State != StateRunning {
		return
	}
	close(k.done)
	if r.State != StateAnswered && r.State != StateUnknown {
		delete(m.byName, name)
		return
	}
	k.recall, k.bytes = r, keptBytes+len(r.Answer.Body)
	for _, h := range r.Answer.Header {
		k.bytes += len(h.Name)
		for _, v := range h.Values {
			k.bytes += len(v)
		}
	}
	m.bytes += k.bytes
	m.ended = append(m.ended, k)
	for m.bytes > m.limit && len(m.ended) > 0 {
		m.bytes -= m.ended[0].bytes
		delete(m.byName, m.ended[0].name)
		m.ended = m.ended[1:]
	}
	check.That(m.bytes >= 0 && m.bytes <= m.limit, "kept_answers_are_bounded", zap.Int("bytes", m.bytes), zap.Int("limit", m.limit))
}

// Recall tells what is known of a request, and the channel that closes once a running one has its outcome.
func (m *Memory) Recall(name, digest string) (Recall, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k, ok := m.byName[name]
	if !ok {
		return Recall{}, nil
	}
	if k.digest != digest {
		return Recall{State: StateMismatch}, nil
	}
	return k.recall, k.done
}

// Bytes returns what the ended requests take.
func (m *Memory) Bytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.bytes
}
