// Package dial reaches the other processes of the system. Every connection
// has its own heartbeat and deadlines, so that a silent cut ends it.
package dial
