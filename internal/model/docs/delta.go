package docs

import "github.com/cockroachdb/errors"

// Delta turns one text into another by replacing the bytes between a common prefix and a common suffix.
type Delta struct {
	// Base is the revision of the text that the delta applies to; 0 if Middle is the complete text.
	Base uint64
	// Prefix is the number of bytes that are kept from the start.
	Prefix int
	// Suffix is the number of bytes that are kept from the end.
	Suffix int
	// Middle is the text between the prefix and the suffix.
	Middle []byte
}

// MakeDelta returns the delta that turns from, the text of revision base, into to. Middle shares memory with to.
func MakeDelta(base uint64, from, to []byte) Delta {
	shorter := min(len(from), len(to))
	prefix := 0
	for prefix < shorter && from[prefix] == to[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < shorter-prefix && from[len(from)-1-suffix] == to[len(to)-1-suffix] {
		suffix++
	}
	return Delta{Base: base, Prefix: prefix, Suffix: suffix, Middle: to[prefix : len(to)-suffix]}
}

// Apply returns the text that the delta makes of from. It fails if from is shorter than the bytes to keep.
func (d Delta) Apply(from []byte) ([]byte, error) {
	if d.Prefix < 0 || d.Suffix < 0 || d.Prefix+d.Suffix > len(from) {
		return nil, errors.Newf("a delta keeps %d and %d bytes of %d", d.Prefix, d.Suffix, len(from))
	}
	to := make([]byte, 0, d.Prefix+len(d.Middle)+d.Suffix)
	to = append(to, from[:d.Prefix]...)
	to = append(to, d.Middle...)
	return append(to, from[len(from)-d.Suffix:]...), nil
}
