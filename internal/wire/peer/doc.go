// Package peer holds the messages and services by which the system's processes
// call each other, generated from schema/peer.
package peer
