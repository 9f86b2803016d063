package docs

import "github.com/cockroachdb/errors"

// Delta turns one text into another by replacing what lies between a common start and end.
type Delta struct {
	// Base is the revision of the text that the delta builds on; 0 where Middle is the whole text.
	Base uint64
	// Prefix is the bytes that are kept from the start.
	Prefix int
	// Suffix is the bytes that are kept from the end.
	Suffix int
	// Middle is what stands between them.
	Middle []byte
}

// MakeDelta returns what turns the text of a revision into another text.
func MakeDelta(base uint64, from, to []byte) Delta {
	least := min(len(from), len(to))
	prefix := 0
	for prefix < least && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < least-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	return Delta{Base: base, Prefix: prefix, Suffix: suffix, Middle: to[prefix : len(to)-suffix]}
}

// Apply returns the text that the delta makes of the one it builds on.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(from) {
		return nil, errors.Newf("a delta keeps %d and %d bytes of %d", d.Prefix, d.Suffix, len(from))
	}
	to := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	to = append(to, from[:d.Prefix]...)
	to = append(to, d.Middle...)
	return append(to, from[len(from)-d.Suffix:]...), nil
}
