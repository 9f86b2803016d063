// Package fleet holds the core types: VMs, pools, services, endpoints, teams
// and jobs, as plain structs without behaviour of their own.
package fleet

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Outcome,Phase,WavePhase,JobPhase,TaskState,Verb,OperationState -linecomment -output=enums_gen.go
