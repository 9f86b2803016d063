package tasks

import "context"

// End is the report of a goroutine that has ended.
type End struct {
	// Name is the name that the goroutine was started under.
	Name string
	// Err is nil where the goroutine ended as asked.
	Err error
}

// Group is a set of goroutines with one owner; only the owner calls its methods.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	ends   chan End
	count  int
}

// groupLimit is the most goroutines that one group starts; their ends never block.
const groupLimit = 128

// NewGroup returns an empty group whose goroutines end with the context.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, ends: make(chan End, groupLimit)}
}

// Start runs a function on a goroutine of its own.
func (g *Group) Start(name string, run func(context.Context) error) {
	g.count++
	go func() {
		g.ends <- End{Name: name, Err: run(g.ctx)}
	}()
}

// Wait returns the first end of a goroutine, or nil where the context ends first.
func (g *Group) Wait(ctx context.Context) *End {
	select {
	case <-ctx.Done():
		return nil
	case end := <-g.ends:
		g.count--
		return &end
	}
}

// Stop ends the goroutines and waits for them all; it returns the first failure.
func (g *Group) Stop() error {
	g.cancel()
	var first error
	for ; g.count > 0; g.count-- {
		if end := <-g.ends; end.Err != nil && first == nil {
			first = end.Err
		}
	}
	return first
}
