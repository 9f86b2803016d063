// Package access keeps an entry's copy of the access table: which keys and which public queues the configuration in force has.
// The copy only tells which calls aren't worth reading; the leader decides on those that are.
package access
