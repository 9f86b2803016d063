// Package bound computes what a planner that knows a whole day would earn at most with the day's jobs and capacity, and
// compares it with what each job got: pure functions over plain structs.
package bound

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Outcome -linecomment -output=enums_gen.go
