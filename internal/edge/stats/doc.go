// Package stats counts what an entry has in progress and what came of its
// requests: by VM for drains, and by service for the leader's plans.
package stats
