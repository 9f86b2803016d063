// Package lead is the leader's loop: it copies the replicated state, lets the
// plans decide, submits what they decide as records, and drives the platform
// towards the state. Each operation's identity comes from the state alone, so
// that a new leader resends the same ones and finds out how far they are.
package lead
