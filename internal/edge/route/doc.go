// Package route holds the immutable view by which requests are routed, and
// the choice among a service's endpoints. It is pure: the time and random
// numbers come in as arguments.
package route

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment -output=enums_gen.go
