// Package tasks starts groups of goroutines that take a context and report
// their end on a channel that the owner of the group reads.
package tasks
