// Package link carries frames between the system's processes over kept TCP
// connections: calls with answers, and messages of the replicated log. A
// connection that goes silent is closed and dialled again.
package link
