// Package sched is the leader's control of batch work: it takes the calls of
// callers, operators and workers, gives tasks to workers, moves and maintains
// VMs, and records in the replicated log what must outlive it. All of it runs
// on the process's control loop.
package sched

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=OrderKind,OrderCode,VMState -linecomment -output=enums_gen.go
