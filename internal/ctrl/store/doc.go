// Package store keeps the replicated log on the disk: a write-ahead log of
// length, checksum and record, under a data folder that one process holds.
package store
