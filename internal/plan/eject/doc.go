// Package eject decides what becomes of a worker on which attempts fail or stall again and again: pure functions over plain
// structs.
package eject

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Outcome -linecomment -output=enums_gen.go
