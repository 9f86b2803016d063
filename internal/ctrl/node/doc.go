// Package node joins the replicated log, its disk and the state machine on
// the process's control loop. Disk syncs run on a goroutine of their own and
// report back as events.
package node
