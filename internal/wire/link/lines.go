package link

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"cowslipstack/internal/base/clock"
	"cowslipstack/internal/wire/peer"
)

// Lines are the kept connections to other processes, by address.
type Lines struct {
	clock   clock.Clock
	logger  *zap.Logger
	deliver func(*peer.Link)
	start   chan *line

	mu    sync.Mutex
	lines map[string]*line
}

// NewLines returns connections whose frames that answer no call go to deliver.
func NewLines(c clock.Clock, logger *zap.Logger, deliver func(*peer.Link)) *Lines {
	return &Lines{clock: c, logger: logger, deliver: deliver, start: make(chan *line, framesWaiting), lines: map[string]*line{}}
}

// Run owns the goroutines of the connections until the context ends.
func (l *Lines) Run(ctx context.Context) error {
	ends := make(chan struct{})
	count := 0
	for {
		select {
		case <-ctx.Done():
			for ; count > 0; count-- {
				<-ends
			}
			return nil
		case one := <-l.start:
			count++
			go func() {
				one.run(ctx)
				ends <- struct{}{}
			}()
		}
	}
}

// Send sends a frame that nobody answers, and returns at once; it may be lost.
func (l *Lines) Send(address string, f *peer.Link) {
	l.line(address).send(f)
}

// Call sends a frame and waits for its answer; it fails with ErrNotSent or ErrNoAnswer.
func (l *Lines) Call(ctx context.Context, address string, f *peer.Link) (*peer.Link, error) {
	return l.line(address).call(ctx, f)
}

func (l *Lines) line(address string) *line {
	l.mu.Lock()
	defer l.mu.Unlock()
	one := l.lines[address]
	if one == nil {
		one = &line{
			address: address, clock: l.clock, logger: l.logger, deliver: l.deliver,
			out: make(chan *call, framesWaiting), pending: map[uint64]*call{},
		}
		l.lines[address] = one
		l.start <- one
	}
	return one
}
