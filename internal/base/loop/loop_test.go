package loop_test

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/base/loop"
)

// TestCallEndsWithItsEvent checks that the event of a call never runs after the call has returned, whenever the context
// of the call ends.
func TestCallEndsWithItsEvent(t *testing.T) {
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	l := loop.New(loop.DefaultCapacity)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	var callers sync.WaitGroup
	for range 64 {
		callers.Go(func() {
			for range 200 {
				call, cancel := context.WithCancel(ctx)
				ran := 0
				canceled := make(chan struct{})
				go func() {
					cancel()
					close(canceled)
				}()
				err := l.Call(call, func() { ran++ })
				// If the event could still run here, the race detector would report this read.
				if (err == nil) != (ran == 1) {
					t.Errorf("the event ran %d times, and Call returned %v", ran, err)
				}
				<-canceled
			}
		})
	}
	callers.Wait()
	stop()
	is.NoErr(<-ended)
}

// TestFull checks that TryPost on a full loop fails at once, and that Post ends with its context.
func TestFull(t *testing.T) {
	is := is.New(t)
	l := loop.New(1)
	is.NoErr(l.TryPost(func() {}))
	is.Equal(l.TryPost(func() {}), loop.ErrFull)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(l.Post(ctx, func() {}) != nil)
}
