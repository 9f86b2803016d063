// Package pace decides the CPU share of best-effort tasks, which use processor
// time that other tasks leave, on a worker that also runs tasks with a tail
// latency target. It consists of pure functions.
package pace
