// Package route defines the immutable view by which requests are routed, and
// the types for requesting an endpoint and reporting the result.
package route

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment -output=enums_gen.go
