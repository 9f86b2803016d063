// Package queue holds the requests of one service that wait for a slot. It is
// bounded, ordered by deadline, fair between teams by weight, and prefers
// urgent classes without starving the others. It is pure: the time comes in
// as an argument and the caller guards it against concurrent use.
package queue

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Class,Verdict -linecomment -output=enums_gen.go
