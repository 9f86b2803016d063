// Package site wires a cowslipd that finds the others through seeds: the
// replicated log where there is a disk, the leader's control of batch work,
// the calls to the leader, and the platform's calls in front of them.
package site
