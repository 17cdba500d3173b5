package memorykeeper

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/limitreader"
)

// firstBytes is what is allotted to a body of which nothing has arrived.
const firstBytes = 4 << 10

// Source is the body of a request or response to read.
type Source struct {
	io.Reader
	// Length is what the sender claims, -1 if it claims none.
	Length int64
	// Limit is the largest size that is accepted.
	Limit int64
	// Workspace is the name of the workspace that pays for the memory, empty for none.
	Workspace string
	// Patience is how long the body may wait for memory in sum.
	Patience time.Duration
}

// Body is a body in memory. Its memory must be released.
type Body struct {
	Bytes []byte
	// Waited is how long the body has waited for memory.
	Waited      time.Duration
	reservation *Reservation
}

// Release returns the memory of the body, which isn't used any more.
func (b *Body) Release() {
	b.Bytes = nil
	b.reservation.Release()
}

// ReadBody reads a body to its end. What it allots follows what has arrived, not the
// length that the sender claims. While no memory is left, it doesn't read, which holds the
// sender back. It returns ErrFull if the memory doesn't become free in time, and
// limitreader.ErrTooLong if the body exceeds its limit.
func (k *Keeper) ReadBody(ctx context.Context, s Source) (*Body, error) {
	if s.Length > s.Limit {
		return nil, limitreader.ErrTooLong
	}
	v := k.body(s.Workspace, s.Length, s.Patience)
	b, err := v.readAll(ctx, s)
	if err == nil {
		v.complete()
	}
	return b, err
}

// ReadResponse reads the body of a response to its end. It doesn't wait for memory.
func (k *Keeper) ReadResponse(ctx context.Context, s Source) (*Body, error) {
	return k.Response().readAll(ctx, s)
}

func (v *Reservation) readAll(ctx context.Context, s Source) (*Body, error) {
	b, err := v.read(ctx, s)
	if err != nil {
		v.Release()
		return nil, err
	}
	return &Body{Bytes: b, Waited: v.waited, reservation: v}, nil
}

func (v *Reservation) read(ctx context.Context, s Source) ([]byte, error) {
	size := s.Limit
	if s.Length >= 0 {
		size = s.Length
	}
	var b []byte
	for {
		if int64(len(b)) == size {
			// Another read consumes the end of the body. Only then does net/http detect that a
			// caller disconnects.
			n, err := io.ReadFull(s, make([]byte, 1))
			switch {
			case s.Length >= 0: // the body is whole, whatever that read returns
				return b, nil
			case n > 0:
				return nil, limitreader.ErrTooLong
			case err != io.EOF:
				return nil, errors.Trace(err)
			}
			return b, nil
		}
		if len(b) == cap(b) {
			grown := min(max(firstBytes, 2*int64(cap(b))), size)
			if err := v.await(ctx, grown-int64(cap(b))); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := s.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && s.Length >= 0 && int64(len(b)) < size:
			return nil, errors.Trace(io.ErrUnexpectedEOF)
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, errors.Trace(err)
		}
	}
}
