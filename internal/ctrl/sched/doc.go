// Package sched is the leader's batch scheduler. It handles the calls of callers, operators and workers, assigns
// tasks to workers, moves and maintains VMs, and proposes to the replicated log what must survive a change of
// leader. All of it runs on the process's control loop.
package sched

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=OrderKind,OrderCode,VMState,crashExcuse,unfitReason,access -linecomment -output=enums_gen.go
