// Package claim decides how an entry handles a request that must run at most
// once, from the replicated claim of its idempotency key and from the entry's
// own cache of responses. It depends on no HTTP, wire message or clock.
package claim
