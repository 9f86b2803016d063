// Package accept decides which new jobs can be done in time beside those that were accepted before, when client accounts
// compete for too little room. It consists of plain structs and functions without a clock.
package accept

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment -output=enums_gen.go
