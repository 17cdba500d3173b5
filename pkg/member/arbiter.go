package member

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Arbiter returns the node that decides about a key, by rendezvous hashing: self if live has no
// other. Nodes that are suspected to be dead count, since others may not suspect them; those that
// are leaving don't.
func Arbiter(live []Info, self Info, key uint64) Info {
	best, score := self, uint64(0)
	for _, m := range live {
		if m.State == Leaving {
			continue
		}
		if h := xxhash.Sum64String(fmt.Sprintf("%s/%d", m.Name, key)); h >= score {
			best, score = m, h
		}
	}
	return best
}
