// Package sharder assigns prompts to cache stores. All nodes choose the same store for
// the same prefix without talking to each other, and a store that is added or removed
// moves only the prefixes that it gets or had.
package sharder

import (
	"github.com/cespare/xxhash/v2"
)

// Sharder distributes prefixes over a list of cache stores. It is immutable.
type Sharder struct {
	addresses []string
	hashes    []uint64
}

// New returns a Sharder over the cache stores with the given addresses.
func New(addresses []string) *Sharder {
	s := &Sharder{addresses: append([]string(nil), addresses...)}
	for _, a := range s.addresses {
		s.hashes = append(s.hashes, xxhash.Sum64String(a))
	}
	return s
}

// Pick returns the address of the cache store for a prefix, given its hash, or an empty
// string if there is none. It takes the store with the highest hash of prefix and address
// (rendezvous hashing).
func (s *Sharder) Pick(prefix uint64) string {
	best, highest := "", uint64(0)
	for i, h := range s.hashes {
		if score := mix(prefix ^ h); best == "" || score > highest {
			best, highest = s.addresses[i], score
		}
	}
	return best
}

// Len returns the number of cache stores.
func (s *Sharder) Len() int { return len(s.addresses) }

// Addresses returns the addresses of the cache stores. The caller must not modify them.
func (s *Sharder) Addresses() []string { return s.addresses }

// mix spreads the bits of x (the finalizer of MurmurHash3).
func mix(x uint64) uint64 {
	const first, second, shift uint64 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53, 33
	x = (x ^ x>>shift) * first
	x = (x ^ x>>shift) * second
	return x ^ x>>shift
}
