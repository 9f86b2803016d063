// Package member discovers the system's processes from seeds and by gossip,
// without a configured list. On the leader it adapts the voters of the quorum
// to the processes that are alive.
package member
