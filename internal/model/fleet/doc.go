// Package fleet holds the core types as plain structs: VMs, endpoints, teams,
// jobs, maintenance waves, bad-time ledgers and the platform's view of them.
package fleet

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Outcome,Phase,WavePhase,JobPhase,TaskState,Verb,OperationState -linecomment -output=enums_gen.go
