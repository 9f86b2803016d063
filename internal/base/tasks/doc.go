// Package tasks starts goroutines that each take a context and report their
// end on a channel that their owner reads.
package tasks
