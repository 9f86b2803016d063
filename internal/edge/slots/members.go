package slots

import "hash/fnv"

// Members are the entries among which homes are chosen.
type Members struct {
	// Version rises with each change of the members.
	Version uint64
	// Names are the entries' names.
	Names []string

	hashes []uint64
}

// hashed returns the members with the hashes of their names, so that these are computed once.
func (m Members) hashed() Members {
	m.hashes = make([]uint64, 0, len(m.Names))
	for _, name := range m.Names {
		m.hashes = append(m.hashes, uint64(KeyOf(name)))
	}
	return m
}

// KeyOf returns the key of an endpoint, given a name that is unique among all services.
func KeyOf(name string) Key {
	h := fnv.New64a()
	// Write of a hash never fails.
	_, _ = h.Write([]byte(name))
	return Key(mixBits(h.Sum64()))
}

// Home returns the entry that grants a runner's slots, by rendezvous hashing (Thaler and Ravishankar, 1998). It is
// empty if there are no members.
func (m Members) Home(k Key) string {
	if len(m.hashes) != len(m.Names) {
		m = m.hashed()
	}
	var home string
	var most uint64
	for i, name := range m.Names {
		if w := mixBits(uint64(k) ^ m.hashes[i]); home == "" || w > most {
			home, most = name, w
		}
	}
	return home
}

// mixBits is the 64-bit finalizer of MurmurHash3: each input bit affects every output bit.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
