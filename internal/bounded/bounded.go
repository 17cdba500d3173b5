// Package bounded reads bodies that must not fill the memory, and never takes
// a part of one for the whole.
package bounded

import (
	"io"

	"github.com/juju/errors"
)

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
