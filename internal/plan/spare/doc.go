// Package spare plans the spare VMs: how many are held for surges, failures and
// maintenance, which services have throttled runners on them, and which pools
// they are lent to.
package spare
