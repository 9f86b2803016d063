package budget

import (
	"container/list"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Class is the kind of sender of a body; each has its own partition.
type Class int

// The classes of senders.
const (
	Callers Class = iota
	Workers
	Operators
	Peers
	classCount
)

// classNames are the names of the classes in logs and metrics.
var classNames = [classCount]string{"callers", "workers", "operators", "peers"}

// Classes returns all classes.
func Classes() []Class { return []Class{Callers, Workers, Operators, Peers} }

// String returns the name of the class.
func (c Class) String() string { return classNames[c] }

// Limits bounds a partition.
type Limits struct {
	// Bytes is the size of the partition.
	Bytes int64
	// ClientBytes is the most that one client address may hold.
	ClientBytes int64
	// SmallBytes is the size up to which a body may use the last eighth of the partition, which keeps ordinary small
	// bodies served while large ones fill the rest.
	SmallBytes int64
	// MinStall is how long a body must have made no progress before it may be dropped.
	MinStall time.Duration
}

// smallShare is the inverse of the share of a partition that only small bodies may use.
const smallShare = 8

// Result says what came of a reservation of bytes.
type Result int

// The results of Reserve.
const (
	// Reserved means that the bytes are counted.
	Reserved Result = iota
	// Exhausted means that the partition or the client's part of it is full and no body could be dropped.
	Exhausted
	// TooLarge means that the body would not fit even if it were alone.
	TooLarge
	// Dropped means that the body was dropped for the benefit of another one.
	Dropped
)

// Budget is the byte budget of a process; it is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	partitions [classCount]partition
}

// partition is the state of one class. The mutex of Budget guards it.
type partition struct {
	limits  Limits
	used    int64
	dropped int64
	clients map[string]int64
	// reading holds the bodies that are being read, the one without progress for longest first.
	reading *list.List
}

// New returns a budget; limits gives the partition of each class.
func New(limits map[Class]Limits) *Budget {
	b := &Budget{}
	for _, c := range Classes() {
		b.partitions[c] = partition{limits: limits[c], clients: map[string]int64{}, reading: list.New()}
	}
	return b
}

// Used returns how many bytes of a partition are reserved, and how many bodies have been dropped from it.
func (b *Budget) Used(c Class) (bytes, dropped int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.partitions[c].used, b.partitions[c].dropped
}

// Body is the reservation of one body. Its methods are safe for concurrent use.
type Body struct {
	budget *Budget
	class  Class
	client string
	// onDrop is called once if the body is dropped, with the budget's mutex held; it must not block.
	onDrop func()
	bytes  int64
	// progress is when the body last made progress; element is its place in reading, nil once it is complete.
	progress time.Time
	element  *list.Element
	dropped  bool
}

// Open returns the reservation of a body that is about to be read, without bytes. Close must be called on it.
func (b *Budget) Open(class Class, client string, now time.Time, onDrop func()) *Body {
	b.mu.Lock()
	defer b.mu.Unlock()
	body := &Body{budget: b, class: class, client: client, onDrop: onDrop, progress: now}
	body.element = b.partitions[class].reading.PushBack(body)
	return body
}

// Progress records that bytes of the body have come.
func (y *Body) Progress(now time.Time) {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	y.progress = now
	if y.element != nil {
		y.budget.partitions[y.class].reading.MoveToBack(y.element)
	}
}

// Complete records that the body is read; it can no longer be dropped.
func (y *Body) Complete() {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	y.leaveReading()
}

// leaveReading removes the body from those that may be dropped.
func (y *Body) leaveReading() {
	if y.element != nil {
		y.budget.partitions[y.class].reading.Remove(y.element)
		y.element = nil
	}
}

// Close releases the bytes of the body; further calls do nothing.
func (y *Body) Close() {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	y.release()
}

// release removes the body and its bytes.
func (y *Body) release() {
	y.leaveReading()
	p := &y.budget.partitions[y.class]
	p.used -= y.bytes
	if p.clients[y.client] -= y.bytes; p.clients[y.client] <= 0 {
		delete(p.clients, y.client)
	}
	y.bytes = 0
}

// Reserve reserves more bytes for the body. If they don't fit it drops the bodies of the same class that have stalled
// for longest, of the same client where that client's part is full, until they do.
func (y *Body) Reserve(n int64, now time.Time) Result {
	y.budget.mu.Lock()
	defer y.budget.mu.Unlock()
	if y.dropped {
		return Dropped
	}
	p := &y.budget.partitions[y.class]
	size := p.limits.Bytes
	if y.bytes+n > p.limits.SmallBytes {
		size -= size / smallShare
	}
	if y.bytes+n > min(size, p.limits.ClientBytes) {
		return TooLarge
	}
	for p.clients[y.client]+n > p.limits.ClientBytes {
		if !p.dropStalled(y, y.client, now) {
			return Exhausted
		}
	}
	for p.used+n > size {
		if !p.dropStalled(y, "", now) {
			return Exhausted
		}
	}
	y.bytes += n
	p.used += n
	p.clients[y.client] += n
	return Reserved
}

// dropStalled drops the body that has stalled for longest and holds bytes, of one client if it isn't empty, but never the
// one that bytes are needed for. It reports false if there is none.
func (p *partition) dropStalled(needs *Body, client string, now time.Time) bool {
	for e := p.reading.Front(); e != nil; e = e.Next() {
		y := e.Value.(*Body)
		if now.Sub(y.progress) < p.limits.MinStall {
			return false
		}
		if y == needs || y.bytes == 0 || client != "" && y.client != client {
			continue
		}
		y.release()
		y.dropped = true
		p.dropped++
		y.onDrop()
		return true
	}
	return false
}

// Errors of reading a body within a budget.
var (
	// ErrExhausted means that too many bytes are held for other bodies.
	ErrExhausted = errors.New("too many bodies are being read")
	// ErrTooLarge means that the body needs more memory than there is for one.
	ErrTooLarge = errors.New("the body needs more memory than is taken for one body")
	// ErrDropped means that the body stalled while another one needed its bytes.
	ErrDropped = errors.New("the body made no progress and was dropped for another one")
	// ErrSlow means that the body came too slowly.
	ErrSlow = errors.New("the body came too slowly")
)
