package router

import "time"

// maxRecentChanges is how many local changes are kept per engine. Older ones
// can't be added to a late report.
const maxRecentChanges = 32

// change is the effect of one local event on an engine's load.
type change struct {
	at       int64 // nanoseconds of Unix time
	occupied int16
	pending  int16
	rank     uint8
}

// changeLog is a ring buffer of the latest changes that this node made to the
// load of an engine. They are added to a report that was taken before them.
type changeLog struct {
	ring [maxRecentChanges]change
	next int
}

func (c *changeLog) add(x change) {
	c.ring[c.next] = x
	c.next = (c.next + 1) % maxRecentChanges
}

// sumAfter returns the sum of the changes made after t, or zeros if t is zero.
func (c *changeLog) sumAfter(t time.Time) (occupied int, pending [Ranks]int) {
	if t.IsZero() {
		return 0, pending
	}
	from := t.UnixNano()
	for i := range c.ring {
		if x := &c.ring[i]; x.at > from {
			occupied += int(x.occupied)
			pending[x.rank] += int(x.pending)
		}
	}
	return occupied, pending
}
