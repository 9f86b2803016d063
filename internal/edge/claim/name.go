package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"hash"
)

// nameBytes is the length of keys and digests; two of 128 bits don't meet by chance.
const nameBytes = 16

// Request is what a key stands for.
type Request struct {
	// Service is the service that is called.
	Service string
	// Team is the team that calls, as the caller gives it.
	Team string
	// Key is the caller's idempotency key.
	Key string
	// Method is the HTTP method.
	Method string
	// Target is the path and query.
	Target string
	// Body is the whole body.
	Body []byte
}

// Name returns the key under which the claim is kept: of fixed length, and different for each service and team.
func (r Request) Name() string {
	h := sha256.New()
	write(h, []byte(r.Service), []byte(r.Team), []byte(r.Key))
	return sum(h)
}

// Digest returns the digest that tells this request from another under the same key.
func (r Request) Digest() string {
	h := sha256.New()
	write(h, []byte(r.Method), []byte(r.Target), r.Body)
	return sum(h)
}

// write adds parts with their lengths, so that no two lists of parts look alike.
func write(h hash.Hash, parts ...[]byte) {
	for _, p := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(p)
	}
}

func sum(h hash.Hash) string {
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:nameBytes])
}
