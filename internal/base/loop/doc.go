// Package loop runs the one goroutine that owns a process's control state.
// Every change of that state is an event on one bounded channel; traffic
// goroutines read immutable snapshots and post feedback as events.
package loop
