// Package jobs is the replicated state of batch work: the configuration in force, the jobs with their attempts, and
// the maintenance waves. The same changes in the same order give the same state on each replica.
package jobs
