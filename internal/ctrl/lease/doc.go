// Package lease renews the leases of entries on the leader. A renewal is
// answered only after a quorum has confirmed the leader since it came in, so
// that a leader that was cut off renews nobody.
package lease
