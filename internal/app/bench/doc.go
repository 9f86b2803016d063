// Package bench holds benchmarks and fault-injection tests of the whole control
// role: the replicas run in one process, each with its own loop, disk and state
// machine.
package bench
