// Package review checks a configuration before it is sent: what is wrong with it, which of its entries have no effect, and how it
// differs from the active one. It consists of pure functions on plain structs.
package review

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Severity -linecomment -output=enums_gen.go
