// Package grant holds what an entry and the leader tell each other when a
// lease is renewed.
package grant
