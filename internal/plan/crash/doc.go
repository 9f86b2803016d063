// Package crash attributes the crash of a worker to the tasks that it had just been ordered to start: pure functions over
// plain structs.
package crash

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Trial -linecomment -output=enums_gen.go
