// Package stats counts an entry's requests in progress and their outcomes: by
// VM for drains, and by service for the leader's plans.
package stats
