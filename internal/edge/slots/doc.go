// Package slots shares the slots of each runner among all entries. Each
// runner has one home among the entries, chosen by rendezvous hashing; the home
// grants its slots to the entries by their demand, and the grants never add up
// to more than the runner's slots. A grant that was not given back provably is
// held until every request under it must have ended. The package is pure: time
// comes in as an argument, and messages are plain values.
package slots

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Cause -linecomment -output=enums_gen.go
