// Package loop runs the one goroutine that owns the control state of a process.
// Every change of that state is an event on one bounded channel. Traffic
// goroutines read immutable snapshots and post feedback as events.
package loop
