// Package budget bounds the bytes that a process holds for bodies. The budget is
// partitioned by the kind of sender. When a partition is exhausted, the body
// that has made no progress for longest is dropped; without one that has stalled,
// the new bytes are refused. It reads no clock and does no input or output.
package budget
