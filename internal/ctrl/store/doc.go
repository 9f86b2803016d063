// Package store persists a replica on disk: a write-ahead log of segments with
// checksummed frames, snapshots, and the replica's identity. All of it is in one
// data folder, which one process locks.
package store
