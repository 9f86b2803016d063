// Package queue implements the bounded queue of one service's requests that wait for a slot. Weighted fair queueing
// divides the slots among the priority classes and, within a class, among the teams, so that no class starves;
// within a team the earliest deadline goes first. The package reads no clock: the time is an argument. The caller
// guards a queue against concurrent use.
package queue

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Class,Verdict -linecomment -output=enums_gen.go
