// Package limitreader limits how much of a response is read into memory. A body that
// exceeds its limit is an error; it is never returned truncated.
package limitreader

import (
	"io"

	"github.com/juju/errors"
)

// MaxHeaderBytes is the maximum size of a response header: twice what servers
// usually allow, and little for a node with hundreds of requests.
const MaxHeaderBytes = 32 << 10

// ErrTooLong reports a body that exceeds its limit.
const ErrTooLong = errors.ConstError("body exceeds the size limit")

// ReadAll reads r to its end. It returns ErrTooLong if r has more than limit bytes.
func ReadAll(r io.Reader, limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(b)) > limit {
		return nil, ErrTooLong
	}
	return b, nil
}
