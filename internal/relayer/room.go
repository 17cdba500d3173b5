package relayer

import (
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// heldBytes bounds what a node holds of all answers at once, beyond the
	// first ownBytes of each: a fifth of the smallest node's memory.
	heldBytes = 24 << 20
	// ownBytes is what each answer may hold besides: usual answers and events
	// take less, and hundreds at once fit into a node.
	ownBytes = 32 << 10
)

// errNoRoom marks an answer that doesn't fit beside those of other requests.
const errNoRoom = errors.ConstError("answers that are being read leave no room for more of this one")

// room counts the bytes of answers that a node holds.
type room struct{ held atomic.Int64 }

// share is what one answer holds of a room.
type share struct {
	room *room
	n    int64
}

// take asks for n more bytes.
func (s *share) take(n int) error {
	if s.room.held.Add(int64(n)) > heldBytes {
		s.room.held.Add(-int64(n))
		return errNoRoom
	}
	s.n += int64(n)
	return nil
}

// free gives all bytes back.
func (s *share) free() {
	s.room.held.Add(-s.n)
	s.n = 0
}
