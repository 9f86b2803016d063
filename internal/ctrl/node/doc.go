// Package node connects the replicated log, its disk and the state machine on
// the control loop of the process. Disk syncs run on a separate goroutine, which
// posts their results to the loop.
package node
