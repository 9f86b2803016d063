// Package claim decides what an entry does with a request that must run at
// most once, by what the replicated claims say and by what it remembers. It
// knows no HTTP, no message and no clock.
package claim
