// Package successor decides when the next leader may send its first order, from what the
// last one tells as it releases the leadership. It does no I/O.
package successor

import "time"

const (
	// flightTime is how long an order may be on its way.
	flightTime = 800 * time.Millisecond
	// unansweredTime is how long after its sending an engine may still carry out an order
	// without a response.
	unansweredTime = time.Minute
	// maxWait bounds how long after they were told of orders may arrive.
	maxWait = 10 * time.Second
)

// History is what a leader knows of the orders that were sent so far, its own and those of
// the leaders before it. Times are those of its boot clock. It is immutable.
type History struct {
	machine      string        // sent the last order, empty if that isn't known
	arrivedBy    time.Duration // when the last order has arrived at the latest
	unanswered   bool
	unansweredAt time.Duration // when the last attempt without a response ended
}

// New returns the History of a leader that only knows by when the orders of the leaders
// before it have arrived.
func New(arrivedBy time.Duration) History { return History{arrivedBy: arrivedBy} }

// Told returns the History of a leader that learned at seenAt what the last one told then or
// earlier. See Tell.
func Told(seenAt, sinceArrival time.Duration, machine string) History {
	return History{machine: machine, arrivedBy: seenAt - max(sinceArrival, -maxWait)}
}

// WithOrder returns h with one more order of a machine, of which the attempt ended at a time.
func (h History) WithOrder(machine string, at time.Duration, answered bool) History {
	h.machine, h.arrivedBy = machine, max(h.arrivedBy, at)
	if !answered {
		h.unanswered, h.unansweredAt = true, at
	}
	return h
}

// Tell returns how long ago the last order had arrived at the latest, negative if it may still
// arrive, and the machine that sent it, empty if that isn't known. The clocks of nodes differ, and
// a write may be executed late: then only more time has passed.
func (h History) Tell(now time.Duration) (sinceArrival time.Duration, machine string) {
	h = h.settled(now)
	return now - h.arrivedBy, h.machine
}

// FirstOrder returns from when on a machine that takes over at now may send orders: gap later
// than those of another machine.
func (h History) FirstOrder(now time.Duration, machine string, gap time.Duration) time.Duration {
	h = h.settled(now)
	if h.machine != "" && h.machine == machine {
		return h.arrivedBy
	}
	return h.arrivedBy + gap
}

// settled returns h without an order that has no response: as long as it may be carried out,
// it counts as sent at now, by any machine.
func (h History) settled(now time.Duration) History {
	if h.unanswered && now-h.unansweredAt < unansweredTime {
		return New(now + flightTime)
	}
	return History{machine: h.machine, arrivedBy: h.arrivedBy}
}
