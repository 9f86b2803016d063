// Package slots divides the slots of each runner among all entries. Each runner has one home entry, chosen by
// rendezvous hashing. The home grants the runner's slots to the entries by their demand, and never grants more than
// the runner has. Unless an entry confirms that it gave a grant back, the grant counts as used until every request
// under it must have ended. The package does no input or output: the time is an argument, and messages are plain
// values.
package slots

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Cause -linecomment -output=enums_gen.go
