// Package quorum implements a Raft replicated log as a deterministic state
// machine. Its inputs are messages, ticks and completed disk writes; its outputs
// are messages, disk writes and committed entries. It does no I/O, starts no
// goroutine and reads no clock.
package quorum

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=MessageKind,EntryKind,Role,ChangeKind -linecomment -output=enums_gen.go
