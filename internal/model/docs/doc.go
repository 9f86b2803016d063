// Package docs holds the environment document: its generated types, and
// functions to parse, compare, preview, identify and transfer it.
package docs

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ChangeKind -linecomment -output=enums_gen.go
