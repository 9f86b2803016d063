// Package place schedules jobs on workers: it estimates job sizes from measured
// use, applies team quotas with borrowing and reclaiming, and preempts jobs that
// can wait in favour of urgent ones.
package place
