// Package codec converts between plain data types and the generated messages of
// package peer, and encodes log entries, snapshots and frames of the write-ahead
// log as protobuf. All conversions are in this package.
package codec
