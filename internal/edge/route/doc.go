// Package route holds the immutable view by which requests are routed, and the
// plain types by which a request asks for an endpoint and tells what came of it.
package route

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Reason -linecomment -output=enums_gen.go
