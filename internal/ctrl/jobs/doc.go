// Package jobs is the replicated state of batch work: the configuration in
// force, the jobs with their attempts, and the waves of maintenance. The same
// changes in the same order give the same book on each replica.
package jobs
