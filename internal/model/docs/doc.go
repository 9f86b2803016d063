// Package docs holds the environment document: its generated types, its
// checks and its digest.
package docs

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ChangeKind -linecomment -output=enums_gen.go
