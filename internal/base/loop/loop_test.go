package loop_test

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"

	"cowslipstack/internal/base/loop"
)

// TestCallEndsWithItsEvent checks that a call whose context ends never leaves its event running behind it.
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
				// Without the guarantee, the race detector sees this read beside the event's write.
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

// TestFull checks that a full loop refuses at once, and that a post to it ends with its context.
func TestFull(t *testing.T) {
	is := is.New(t)
	l := loop.New(1)
	is.NoErr(l.TryPost(func() {}))
	is.Equal(l.TryPost(func() {}), loop.ErrFull)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.True(l.Post(ctx, func() {}) != nil)
}
