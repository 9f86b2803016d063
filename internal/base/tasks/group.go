package tasks

import "context"

// Exit reports that a goroutine of a group has returned.
type Exit struct {
	// Name is the name given to Start.
	Name string
	// Err is the error that the goroutine returned; nil for an orderly end.
	Err error
}

// Group is a set of goroutines with one owner. Only the owner calls its methods, from one goroutine at a time.
type Group struct {
	ctx    context.Context
	cancel context.CancelFunc
	exits  chan Exit
	count  int
}

// maxGoroutines is the most goroutines that a group may start; up to this number, reporting an exit never blocks.
const maxGoroutines = 128

// NewGroup returns an empty group. Its goroutines are told to end when ctx ends.
func NewGroup(ctx context.Context) *Group {
	ctx, cancel := context.WithCancel(ctx)
	return &Group{ctx: ctx, cancel: cancel, exits: make(chan Exit, maxGoroutines)}
}

// Start runs a function on a new goroutine, with the group's context.
func (g *Group) Start(name string, run func(context.Context) error) {
	g.count++
	go func() {
		g.exits <- Exit{Name: name, Err: run(g.ctx)}
	}()
}

// Wait returns the next exit of a goroutine, or nil if ctx ends first.
func (g *Group) Wait(ctx context.Context) *Exit {
	select {
	case <-ctx.Done():
		return nil
	case exit := <-g.exits:
		g.count--
		return &exit
	}
}

// Stop cancels the group's context and waits for all goroutines. It returns the first error of the exits that
// Wait has not returned.
func (g *Group) Stop() error {
	g.cancel()
	var first error
	for ; g.count > 0; g.count-- {
		if exit := <-g.exits; exit.Err != nil && first == nil {
			first = exit.Err
		}
	}
	return first
}
