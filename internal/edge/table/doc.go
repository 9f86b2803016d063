// Package table holds the endpoints that an entry has heard of, as a pure data
// structure: what was announced, what lapses when, and digests by which two
// entries find what one of them has missed. The time comes in as an argument.
package table

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Change -linecomment -output=enums_gen.go
