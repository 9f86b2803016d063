// Package tasks starts groups of goroutines that take a context and report
// their exit on a channel that the owner of the group reads.
package tasks
