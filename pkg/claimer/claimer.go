// Package claimer is the state machine of one shard of the ledger, which lets
// a request that may not be repeated run at most once. Claims are committed in
// groups by one compare-and-swap on the shard's head page, and safety rests on
// that alone: any number of nodes may run a Claimer for the same shard.
//
// The kept answers under a call number are the technique of section 4.1 of
// Morgan and Shrivastava, "Implementing Flexible Object Group Invocation in
// Networked Systems".
package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Limits bounds a shard.
type Limits struct {
	// PageBytes is the size at which the head is sealed.
	PageBytes int
	// MaxPages is how many sealed pages a shard may have; then it is full.
	MaxPages int
	// MaxBatchRecords is how many records one write may add.
	MaxBatchRecords int
	// MaxAnswerBytes bounds a kept answer; of a longer one only the run is kept.
	MaxAnswerBytes int
}

// DefaultLimits keeps head writes small against the platform's megabyte.
func DefaultLimits() Limits {
	return Limits{PageBytes: 64 << 10, MaxPages: 4096, MaxBatchRecords: 512, MaxAnswerBytes: 32 << 10}
}

type entry struct {
	digest Digest
	nonce  Nonce
	holder string
	answer *Answer
	// expires is in Unix seconds; 0 for never.
	expires int64
}

// pending is a claim without an outcome. written says that it was part of a
// write, so that it may stand in the log.
type pending struct {
	Request
	written bool
}

// updateDelay is how long an answer or a release may wait for its commit.
const updateDelay = 100 * time.Millisecond

// staleAfter is how long a held claim is believed without reading the head
// again: another node may have written its answer meanwhile.
const staleAfter = 500 * time.Millisecond

// writePause is the least time between two commits of a shard. It bounds the
// ledger's share of the platform's writes, which the configuration needs too.
const writePause = 40 * time.Millisecond

// retryPause is the pause after a failed platform call.
const retryPause = 200 * time.Millisecond

type claimState uint8

const (
	cold claimState = iota
	loading
	ready
	sealing
	writing
)

// Claimer is the machine of one shard. It is not safe for concurrent use.
type Claimer struct {
	limits  Limits
	rnd     *rand.Rand
	state   claimState
	version uint64
	head    Page
	size    int
	index   map[Key]entry
	loaded  map[string]Page // sealed pages, which never change
	missing []string
	queue   []pending
	updates []Record // finishes and releases that are not committed yet
	granted []pending
	retryAt time.Time // no platform call before, after one that failed
	writeAt time.Time // no commit before, for the platform's budget
	freshAt time.Time // when the head was last known to be the newest
	batch   Page
	sealed  string
	out     []Action
}

// New returns a Claimer that reads the shard on its first event. rnd names
// sealed pages.
func New(limits Limits, rnd *rand.Rand) *Claimer {
	return &Claimer{limits: limits, rnd: rnd, index: map[Key]entry{}, loaded: map[string]Page{}}
}

// Handle takes an event at now and returns the actions to carry out in order.
// The slice is valid until the next call.
func (c *Claimer) Handle(now time.Time, e Event) []Action {
	c.out = c.out[:0]
	switch e := e.(type) {
	case Request:
		c.queue = append(c.queue, pending{Request: e})
	case Finished:
		c.finish(now, e)
	case Released:
		c.withdraw(e.Nonce)
		c.updates = append(c.updates, Record{Op: OpRelease, Key: e.Key, Nonce: e.Nonce, At: now})
	case HeadRead:
		c.headRead(now, e)
	case SealedRead:
		c.sealedRead(now, e)
	case HeadWritten:
		c.headWritten(now, e)
	case SealedWritten:
		c.sealedWritten(now, e)
	}
	c.advance(now)
	return c.out
}

// Pending returns how many claims and updates wait for a commit.
func (c *Claimer) Pending() int { return len(c.queue) + len(c.updates) + len(c.granted) }

func (c *Claimer) do(a Action) { c.out = append(c.out, a) }

func (c *Claimer) finish(now time.Time, e Finished) {
	if len(e.Answer.Body) > c.limits.MaxAnswerBytes {
		e.Answer = Answer{}
	}
	c.updates = append(c.updates, Record{Op: OpDone, Key: e.Key, Nonce: e.Nonce, At: now, Answer: &e.Answer})
}

// withdraw takes a try out of the queue that nobody waits for any more.
func (c *Claimer) withdraw(n Nonce) {
	kept := c.queue[:0]
	for _, p := range c.queue {
		if p.Nonce != n {
			kept = append(kept, p)
		}
	}
	c.queue = kept
}

// advance starts the next step when none is under way.
func (c *Claimer) advance(now time.Time) {
	// Updates alone may wait, to share the write of the next claims.
	if len(c.queue) == 0 && (len(c.updates) == 0 || now.Sub(c.updates[0].At) < updateDelay) {
		return
	}
	switch c.state {
	case cold:
		if now.Before(c.retryAt) {
			c.refuse(now)
			return
		}
		c.state = loading
		c.do(ReadHead{})
	case ready:
		if now.Before(c.writeAt) {
			c.do(Wake{At: c.writeAt})
			return
		}
		c.commit(now)
	}
}

func (c *Claimer) headRead(now time.Time, e HeadRead) {
	if c.state != loading {
		return
	}
	if e.Err != OK {
		c.giveUp(now)
		return
	}
	c.head, c.version, c.freshAt = e.Page, e.Version, now
	c.missing = c.missing[:0]
	for _, name := range e.Page.Sealed {
		if _, ok := c.loaded[name]; !ok {
			c.missing = append(c.missing, name)
			c.do(ReadSealed{Name: name})
		}
	}
	if len(c.missing) == 0 {
		c.rebuild()
	}
}

func (c *Claimer) sealedRead(now time.Time, e SealedRead) {
	if c.state != loading {
		return
	}
	if e.Err != OK {
		c.giveUp(now)
		return
	}
	c.loaded[e.Name] = e.Page
	for i, name := range c.missing {
		if name == e.Name {
			c.missing = append(c.missing[:i], c.missing[i+1:]...)
			break
		}
	}
	if len(c.missing) == 0 {
		c.rebuild()
	}
}

// giveUp goes back to the start after a platform call that failed.
func (c *Claimer) giveUp(now time.Time) {
	c.state = cold
	c.retryAt = now.Add(retryPause)
	c.refuse(now)
}

// refuse tells every waiting claim that the platform can't be asked. A claim
// that may stand in the log is released by the next commit.
func (c *Claimer) refuse(now time.Time) {
	for _, p := range c.queue {
		c.do(Reply{Ticket: p.Ticket, Outcome: Unavailable})
		if p.written {
			c.updates = append(c.updates, Record{Op: OpRelease, Key: p.Key, Nonce: p.Nonce, At: now})
		}
	}
	c.queue = c.queue[:0]
}

// commit builds the next batch and writes it, or answers from the index.
func (c *Claimer) commit(now time.Time) {
	records := c.takeUpdates()
	taken := map[Key]bool{}
	rest := c.queue[:0]
	stale := now.Sub(c.freshAt) > staleAfter
	unsure := false
	for _, r := range c.queue {
		old, ok := c.index[r.Key]
		switch {
		case ok && stale && old.answer == nil && old.nonce != r.Nonce:
			unsure = true
			rest = append(rest, r)
		case ok:
			c.answer(r.Request, old)
		case !r.Latest.IsZero() && now.After(r.Latest):
			// It has waited so long that an older claim may be forgotten.
			c.do(Reply{Ticket: r.Ticket, Outcome: Unavailable})
		case taken[r.Key] || len(records) >= c.limits.MaxBatchRecords:
			rest = append(rest, r)
		case len(c.head.Sealed) >= c.limits.MaxPages:
			c.do(Reply{Ticket: r.Ticket, Outcome: Full})
		default:
			taken[r.Key] = true
			records = append(records, Record{
				Op: OpClaim, Key: r.Key, Digest: r.Digest, Nonce: r.Nonce, Holder: r.Holder, At: now, Expires: unix(r.Expires),
			})
			c.granted = append(c.granted, r)
		}
	}
	c.queue = rest
	switch {
	case len(records) == 0 && unsure:
		c.state = loading
		c.do(ReadHead{})
		return
	case len(records) == 0:
		return
	}
	c.writeAt = now.Add(writePause)
	c.write(now, records)
}

// takeUpdates returns the updates that still change something, and forgets
// those that the log already holds or that can't apply any more.
func (c *Claimer) takeUpdates() []Record {
	kept := c.updates[:0]
	for _, u := range c.updates {
		if old, ok := c.index[u.Key]; ok && old.nonce == u.Nonce && old.answer == nil {
			u.Expires = old.expires
			kept = append(kept, u)
		}
	}
	c.updates = kept
	n, size := 0, 0
	for n < min(len(kept), c.limits.MaxBatchRecords) && size < c.limits.PageBytes {
		size += sizeOf(kept[n : n+1])
		n++
	}
	return append([]Record(nil), kept[:n]...)
}

func (c *Claimer) answer(r Request, e entry) {
	reply := Reply{Ticket: r.Ticket, Outcome: Held, Holder: e.holder}
	switch {
	case e.digest != r.Digest:
		reply.Outcome = Mismatch
	case e.answer != nil:
		reply.Outcome, reply.Answer = Answered, *e.answer
	case e.nonce == r.Nonce:
		reply.Outcome = Granted
	}
	c.do(reply)
}

func (c *Claimer) write(now time.Time, records []Record) {
	added := sizeOf(records)
	c.batch = Page{Sealed: c.unexpired(now)}
	if len(c.head.Records) > 0 && c.size+added > c.limits.PageBytes {
		c.sealed = fmt.Sprintf("%016x-%d", c.rnd.Uint64(), expiry(c.head.Records))
		c.batch.Records = records
		c.state = sealing
		c.do(WriteSealed{Name: c.sealed, Page: Page{Records: c.head.Records}})
		return
	}
	c.batch.Records = append(append([]Record(nil), c.head.Records...), records...)
	c.state = writing
	c.do(WriteHead{Page: c.batch, Version: c.version})
}

func (c *Claimer) sealedWritten(now time.Time, e SealedWritten) {
	if c.state != sealing {
		return
	}
	if e.Err != OK {
		c.requeue()
		c.giveUp(now)
		return
	}
	c.loaded[c.sealed] = Page{Records: c.head.Records}
	c.batch.Sealed = append(append([]string(nil), c.batch.Sealed...), c.sealed)
	c.state = writing
	c.do(WriteHead{Page: c.batch, Version: c.version})
}

func (c *Claimer) headWritten(now time.Time, e HeadWritten) {
	if c.state != writing {
		return
	}
	if e.Err != OK {
		// Whether it took effect shows in the page: a claim that is found
		// with its own nonce is granted.
		c.requeue()
		c.state = loading
		c.do(ReadHead{})
		return
	}
	c.forget(now)
	c.version, c.head, c.freshAt = e.Version, c.batch, now
	c.rebuildHead()
	for _, r := range c.granted {
		c.do(Reply{Ticket: r.Ticket, Outcome: Granted})
	}
	c.granted = c.granted[:0]
	c.state = ready
}

func (c *Claimer) requeue() {
	for _, p := range c.granted {
		p.written = true
		c.queue = append(c.queue, p)
	}
	c.granted = c.granted[:0]
}

const recordOverhead = 96 // bytes of a record without its answer and holder

func sizeOf(records []Record) int {
	n := 0
	for _, r := range records {
		n += recordOverhead + len(r.Holder)
		if r.Answer != nil {
			n += len(r.Answer.Body) + len(r.Answer.ContentType)
		}
	}
	return n
}
