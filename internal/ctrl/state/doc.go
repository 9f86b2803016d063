// Package state implements the replicated state machine. It is deterministic:
// the same commands in the same order give the same state and results on each
// replica. It therefore reads no clock, and no result depends on map order or
// floating-point arithmetic.
package state
