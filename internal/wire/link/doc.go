// Package link multiplexes frames between the system's processes over
// keep-alive TCP connections: requests with responses, and one-way messages of
// the replicated log. A connection that stays silent after a write is closed
// and dialled again.
package link
