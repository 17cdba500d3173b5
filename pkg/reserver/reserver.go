// Package reserver divides the memory of a process among the requests and responses
// that others fill. Ceilings that differ by use keep a part of it free: large request
// bodies leave room for responses, and both leave room for small requests.
package reserver

import (
	"cmp"
	"slices"
)

// Use is what memory is reserved for.
type Use uint8

// The uses.
const (
	// Body is the body of a request.
	Body Use = iota + 1
	// Response is what is buffered of a response.
	Response
)

const (
	// smallBytes is the size up to which a body is small. Small bodies may use all
	// memory.
	smallBytes = 64 << 10
	// smallArrivedBytes is the same for what has arrived of a body of unknown size.
	smallArrivedBytes = 16 << 10
	// responseShare is the share of the memory up to which responses may fill it, and
	// responsesShare the share that they may hold.
	responseShare  = 0.95
	responsesShare = 0.55
	// bodyShare is the share up to which large bodies may fill it.
	bodyShare = 0.53
	// finishingShare is the same for one large body at a time. Without this
	// difference, bodies of which a part has arrived could all wait for each other.
	finishingShare = 0.65
	// workspaceShare and workspaceFinishingShare are the shares up to which a workspace
	// may add to large bodies.
	workspaceShare          = 0.40
	workspaceFinishingShare = 0.52
)

// Reserver counts what is reserved. It is not safe for concurrent use.
type Reserver struct {
	total       int64
	used        int64
	responses   int64            // held by responses
	byWorkspace map[string]int64 // held by bodies
	finishing   *Reservation     // the body that may fill finishingShare
	waiting     []*Reservation
	opened      uint64
}

// Reservation is what one request or response holds.
type Reservation struct {
	use       Use
	workspace string // empty for none
	size      int64  // of the body, -1 if unknown
	number    uint64 // in the order of Open
	held      int64
	wanted    int64 // bytes that it waits for
}

// New returns a Reserver for a number of bytes.
func New(total int64) *Reserver { return &Reserver{total: total, byWorkspace: map[string]int64{}} }

// OpenBody returns an empty reservation for a body of the given size, -1 if unknown. The
// large bodies of a workspace may hold only a part of the memory. An empty name stands for
// no workspace.
func (r *Reserver) OpenBody(workspace string, size int64) *Reservation {
	r.opened++
	return &Reservation{use: Body, workspace: workspace, size: size, number: r.opened}
}

// OpenResponse returns an empty reservation for a response.
func (r *Reserver) OpenResponse() *Reservation { return &Reservation{use: Response} }

// Reserve reserves n more bytes for v and reports whether it did. It doesn't if they don't
// fit, or if a reservation that waits goes first.
func (r *Reserver) Reserve(v *Reservation, n int64) bool {
	for _, w := range r.waiting {
		if v.use == Body && r.compare(w, w.wanted, v, n) < 0 {
			return false
		}
	}
	return r.take(v, n)
}

// Wait makes v wait for n more bytes, until they are granted or Withdraw is called.
func (r *Reserver) Wait(v *Reservation, n int64) {
	v.wanted = n
	r.waiting = append(r.waiting, v)
}

// Withdraw ends the waiting of v. It returns the reservations whose bytes are granted.
func (r *Reserver) Withdraw(v *Reservation) []*Reservation {
	r.waiting = slices.DeleteFunc(r.waiting, func(w *Reservation) bool { return w == v })
	return r.grant()
}

// Complete records that v grows no further. It returns the reservations whose bytes are
// granted.
func (r *Reserver) Complete(v *Reservation) []*Reservation {
	if r.finishing == v {
		r.finishing = nil
	}
	return r.grant()
}

// Release returns all bytes of v. It returns the reservations whose bytes are granted.
func (r *Reserver) Release(v *Reservation) []*Reservation {
	r.add(v, -v.held)
	return r.Complete(v)
}

// Used returns the number of reserved bytes.
func (r *Reserver) Used() int64 { return r.used }

// Waiting returns the number of reservations that wait.
func (r *Reserver) Waiting() int { return len(r.waiting) }

// CouldFit reports whether v could reserve n more bytes if it held all that is reserved.
func (r *Reserver) CouldFit(v *Reservation, n int64) bool {
	return v.held+n <= r.share(r.largestShare(v, n))
}

func (r *Reserver) share(s float64) int64 { return int64(s * float64(r.total)) }

// largestShare returns the share of the memory that may be filled if v reserves n more
// bytes.
func (r *Reserver) largestShare(v *Reservation, n int64) float64 {
	switch {
	case v.use == Response:
		return responseShare
	case isSmall(v, n):
		return 1
	}
	return finishingShare
}

// take reserves n more bytes for v if they fit, and reports whether they do.
func (r *Reserver) take(v *Reservation, n int64) bool {
	if r.used+n > r.share(r.largestShare(v, n)) {
		return false
	}
	switch {
	case v.use == Response:
		if r.responses+n > r.share(responsesShare) {
			return false
		}
	case !isSmall(v, n):
		switch {
		case r.used+n <= r.share(bodyShare) && r.fitsWorkspace(v, n, workspaceShare):
		case (r.finishing == nil || r.finishing == v) && r.fitsWorkspace(v, n, workspaceFinishingShare):
			r.finishing = v
		default:
			return false
		}
	}
	r.add(v, n)
	return true
}

func (r *Reserver) fitsWorkspace(v *Reservation, n int64, share float64) bool {
	return v.workspace == "" || r.byWorkspace[v.workspace]+n <= r.share(share)
}

func (r *Reserver) add(v *Reservation, n int64) {
	if v.use == Response {
		r.responses += n
	} else if r.byWorkspace[v.workspace] += n; r.byWorkspace[v.workspace] == 0 {
		delete(r.byWorkspace, v.workspace)
	}
	v.held += n
	r.used += n
}

// grant takes as many reservations out of the queue as fit, and returns them. One that
// doesn't fit keeps its turn, so that smaller ones can't overtake it for ever.
func (r *Reserver) grant() []*Reservation {
	var granted []*Reservation
	for len(r.waiting) > 0 {
		first := slices.MinFunc(r.waiting, func(a, b *Reservation) int { return r.compare(a, a.wanted, b, b.wanted) })
		if !r.take(first, first.wanted) {
			break
		}
		r.waiting = slices.DeleteFunc(r.waiting, func(w *Reservation) bool { return w == first })
		granted = append(granted, first)
	}
	return granted
}

// compare orders reservations that want m and n more bytes: small bodies first, then the
// one that is finishing, then those of the workspace that holds the least, then the oldest.
func (r *Reserver) compare(a *Reservation, m int64, b *Reservation, n int64) int {
	return cmp.Or(
		before(isSmall(a, m), isSmall(b, n)),
		before(r.finishing == a, r.finishing == b),
		cmp.Compare(r.byWorkspace[a.workspace], r.byWorkspace[b.workspace]),
		cmp.Compare(a.number, b.number),
	)
}

// before orders true before false.
func before(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func isSmall(v *Reservation, n int64) bool {
	if v.size >= 0 {
		return v.size <= smallBytes
	}
	return v.held+n <= smallArrivedBytes
}
