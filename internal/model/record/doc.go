// Package record holds the commands of the replicated log and their results
// as plain structs; wire/codec encodes and decodes them.
package record

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Code,ClaimStep,VMStep,WaveStep,JobStep -linecomment -output=enums_gen.go
