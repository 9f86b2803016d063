// Package batch holds the data types of batch work as plain structs: the
// operator's configuration of queues and pools, jobs with their steps and
// tasks, worker heartbeats and orders, log entries, and calls on the leader.
package batch

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Phase,EndKind,Code,Topic,Subject -linecomment -output=enums_gen.go
