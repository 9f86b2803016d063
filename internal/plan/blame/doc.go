// Package blame decides who is at fault where jobs fail: the job, the worker
// or the wave that maintained the workers; never from one failure.
package blame
