package router

import "time"

// remembered bounds the changes that are counted on top of a late report.
const remembered = 32

type change struct {
	at       int64 // nanoseconds of Unix time
	occupied int16
	pending  int16
	rank     uint8
}

// changes holds what this node changed at an engine lately, so that a report
// that was taken earlier can be brought up to date.
type changes struct {
	ring [remembered]change
	next int
}

func (c *changes) add(x change) {
	c.ring[c.next] = x
	c.next = (c.next + 1) % remembered
}

// since sums the changes after t; a zero t has none.
func (c *changes) since(t time.Time) (occupied int, pending [Ranks]int) {
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
