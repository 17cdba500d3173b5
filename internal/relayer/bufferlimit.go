package relayer

import (
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// sharedBufferBytes is how much a node may buffer of all responses together,
	// in addition to ownBufferBytes of each: a fifth of the smallest node's
	// memory.
	sharedBufferBytes = 24 << 20
	// ownBufferBytes is how much each response may buffer in addition. Usual
	// responses and events need less, and hundreds at once fit into a node.
	ownBufferBytes = 32 << 10
)

// errBufferLimit reports that no shared buffer space is left for a response.
const errBufferLimit = errors.ConstError("shared response buffer limit reached")

// bufferLimit counts the bytes of responses that a node buffers.
type bufferLimit struct{ used atomic.Int64 }

// reservation is the part of a bufferLimit that one response uses.
type reservation struct {
	limit *bufferLimit
	n     int64
}

// reserve reserves n more bytes.
func (r *reservation) reserve(n int) error {
	if r.limit.used.Add(int64(n)) > sharedBufferBytes {
		r.limit.used.Add(-int64(n))
		return errBufferLimit
	}
	r.n += int64(n)
	return nil
}

// release returns all reserved bytes.
func (r *reservation) release() {
	r.limit.used.Add(-r.n)
	r.n = 0
}
