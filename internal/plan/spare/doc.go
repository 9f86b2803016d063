// Package spare plans the spare VMs: how many are held for surges, failures
// and maintenance, whose throttled runners they hold, and which pools lend
// VMs to one another.
package spare
