// Package bench holds benchmarks of the control role as a whole: its replicas
// run in one process, each with a loop, a disk and a state machine of its own.
package bench
