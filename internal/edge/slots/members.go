package slots

import "hash/fnv"

// Members are the entries among which homes are chosen.
type Members struct {
	// Version rises with each change.
	Version uint64
	// Names are the entries' names.
	Names []string

	hashes []uint64
}

// hashed returns the members with the hashes of their names, so that they are made once.
func (m Members) hashed() Members {
	m.hashes = make([]uint64, 0, len(m.Names))
	for _, name := range m.Names {
		m.hashes = append(m.hashes, uint64(KeyOf(name)))
	}
	return m
}

// KeyOf returns the key of an endpoint's name among all services.
func KeyOf(name string) Key {
	h := fnv.New64a()
	// A hash takes all that it is given.
	_, _ = h.Write([]byte(name))
	return Key(mix(h.Sum64()))
}

// Home returns the entry that grants a runner's slots, by highest random
// weight (Thaler and Ravishankar, 1998); it is empty where there are no members.
func (m Members) Home(k Key) string {
	if len(m.hashes) != len(m.Names) {
		m = m.hashed()
	}
	var home string
	var most uint64
	for i, name := range m.Names {
		if w := mix(uint64(k) ^ m.hashes[i]); home == "" || w > most {
			home, most = name, w
		}
	}
	return home
}

// mix spreads each bit of a number over all of them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
