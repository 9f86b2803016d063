// Package peer holds the generated messages and services of the system's own
// processes; schema/peer is their source.
package peer
