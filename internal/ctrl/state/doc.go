// Package state is the replicated state and its deterministic machine: the
// same commands in the same order give the same state and results on each
// replica. It reads no clock and decides nothing by map order or floating
// point.
package state
