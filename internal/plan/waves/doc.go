// Package waves plans maintenance waves: when a wave starts, which VMs it takes
// out of service next, when it halts, continues or stops itself, and when the
// probation of a VM ends.
package waves
