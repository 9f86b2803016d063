// Package site wires a cowslipd process that discovers the other processes
// through seeds: the replicated log and the scheduler if the process has a
// disk, the proxy to the leader, and the server for the platform's calls.
package site
