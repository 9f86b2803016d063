package slots

import "hash/fnv"

// Members are the entries among which homes are chosen.
type Members struct {
	// Version rises with each change.
	Version uint64
	// Names are the entries' names.
	Names []string
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
	var home string
	var most uint64
	for _, name := range m.Names {
		if w := weight(k, name); home == "" || w > most {
			home, most = name, w
		}
	}
	return home
}

func weight(k Key, name string) uint64 {
	return mix(uint64(k) ^ uint64(KeyOf(name)))
}

// mix spreads each bit of a number over all of them.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
