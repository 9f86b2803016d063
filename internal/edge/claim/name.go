package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
)

// digestBytes is the length of names and digests before encoding; with 128 bits collisions are negligible.
const digestBytes = 16

// Request identifies a request that carries an idempotency key.
type Request struct {
	// Service is the name of the called service.
	Service string
	// Team is the calling team, as the caller states it.
	Team string
	// Key is the caller's idempotency key.
	Key string
	// Method is the HTTP method.
	Method string
	// Target is the request's path and query.
	Target string
	// Body is the complete request body.
	Body []byte
}

// Name returns the name of the request's claim: a hash of fixed length over service, team and idempotency key.
func (r Request) Name() string {
	h := sha256.New()
	writeParts(h, []byte(r.Service), []byte(r.Team), []byte(r.Key))
	return sum(h)
}

// Digest returns a hash over method, target and body that distinguishes requests with the same idempotency key.
func (r Request) Digest() string {
	h := sha256.New()
	writeParts(h, []byte(r.Method), []byte(r.Target), r.Body)
	return sum(h)
}

// writeParts hashes each part with its length, so that different lists of parts never give the same input.
func writeParts(h hash.Hash, parts ...[]byte) {
	for _, p := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(p)
	}
}

// sum returns the first digestBytes of the hash in base64.
func sum(h hash.Hash) string {
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}
