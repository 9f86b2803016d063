// Package waves plans maintenance: when a wave starts, which VMs it takes out
// next, when it halts, goes on or stops itself, and when a VM's probation ends.
package waves
