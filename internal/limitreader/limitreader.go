// Package limitreader keeps answers from filling the memory, and never takes a part of
// a body for the whole.
package limitreader

import (
	"io"

	"github.com/juju/errors"
)

// MaxHeaderBytes bounds what is read for the head of an answer: twice what servers
// usually allow, and little for a node with hundreds of requests.
const MaxHeaderBytes = 32 << 10

// ErrTooLong marks a body that is longer than its bound.
const ErrTooLong = errors.ConstError("the body has more bytes than are taken")

// ReadAll reads r to its end. More than most bytes are an error.
func ReadAll(r io.Reader, most int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, most+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if int64(len(b)) > most {
		return nil, ErrTooLong
	}
	return b, nil
}
