// Package table implements an entry's table of announced endpoints, with TTLs,
// tombstones for endpoints that left, and digests for the anti-entropy between
// entries. It reads no clock: callers pass the time.
package table

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Change -linecomment -output=enums_gen.go
