// Package quorum is the replicated log as a pure step function: messages,
// ticks and disk events go in, messages, records and committed entries come
// out. It does no I/O, starts no goroutine and reads no clock.
package quorum

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=MessageKind,EntryKind,Role,ChangeKind -linecomment -output=enums_gen.go
