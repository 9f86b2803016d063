// Package store keeps the replicated log on the disk: a write-ahead log in
// segments of checked frames, snapshots, and the replica's identity, under a
// data folder that one process holds.
package store
