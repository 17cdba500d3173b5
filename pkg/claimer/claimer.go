// Package claimer implements the state machine of one ledger shard. The ledger
// stores a claim for each non-idempotent request, so that the request runs at
// most once.
//
// The claims of a shard form a log on the platform's key-value service. Its
// newest records are in the head page. A full head page is sealed: its records
// move to a page that never changes, and the head lists the names of the sealed
// pages.
//
// A Claimer commits claims in batches, each with one compare-and-swap on the
// head page. Safety depends on this compare-and-swap alone: any number of nodes
// may run a Claimer for the same shard.
//
// Storing responses under a call number follows section 4.1 of Morgan and
// Shrivastava, "Implementing Flexible Object Group Invocation in Networked
// Systems".
package claimer

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// Limits bounds the storage that a shard uses.
type Limits struct {
	// PageBytes is the size beyond which the head page is sealed.
	PageBytes int
	// MaxPages is the number of sealed pages at which the shard is full.
	MaxPages int
	// MaxBatchRecords bounds the records that one write adds.
	MaxBatchRecords int
	// MaxAnswerBytes bounds the body of a stored response. For a longer one,
	// only the fact that the request ran is stored.
	MaxAnswerBytes int
}

// DefaultLimits returns limits that keep head writes far below the platform's
// limit of one megabyte.
func DefaultLimits() Limits {
	return Limits{PageBytes: 64 << 10, MaxPages: 4096, MaxBatchRecords: 512, MaxAnswerBytes: 32 << 10}
}

// claim is an index entry. answer is nil until the holder reports an outcome.
type claim struct {
	digest Digest
	nonce  Nonce
	holder string
	answer *Answer
	// expires is in Unix seconds; 0 means never.
	expires int64
}

// queuedClaim is a claim without an outcome. written is set once the claim was
// part of a write that failed or may have failed, so the log may contain it.
type queuedClaim struct {
	Request
	written bool
}

// maxUpdateDelay bounds how long a stored response or a release waits for a
// claim to share its commit with.
const maxUpdateDelay = 100 * time.Millisecond

// maxHeadAge is the head's age beyond which a held claim is reported only after
// reading the head again: another node may have written its response meanwhile.
const maxHeadAge = 500 * time.Millisecond

// minCommitInterval separates the commits of a shard. It bounds the ledger's
// share of the platform's write capacity, which configuration writes need too.
const minCommitInterval = 40 * time.Millisecond

// retryDelay is the delay before reading the shard again after a failed call.
const retryDelay = 200 * time.Millisecond

type shardState uint8

const (
	notLoaded shardState = iota
	loading
	ready
	sealing
	writing
)

// Claimer is the state machine of one shard. It is not safe for concurrent use.
type Claimer struct {
	limits        Limits
	rnd           *rand.Rand
	state         shardState
	version       uint64
	head          Page
	headBytes     int
	index         map[Key]claim
	sealedPages   map[string]Page // by name; sealed pages never change
	missingPages  []string
	queue         []queuedClaim
	updates       []Record // responses and releases that are not committed yet
	committing    []queuedClaim
	retryAt       time.Time // earliest read of the head after a failed call
	nextCommitAt  time.Time // earliest next commit, see minCommitInterval
	headCurrentAt time.Time // when the head was last known to be the newest
	nextHead      Page
	sealingName   string
	actions       []Action
}

// New returns a Claimer that reads the shard when the first claim or update
// arrives. rnd provides the names of sealed pages.
func New(limits Limits, rnd *rand.Rand) *Claimer {
	return &Claimer{limits: limits, rnd: rnd, index: map[Key]claim{}, sealedPages: map[string]Page{}}
}

// Handle processes an event that occurred at now and returns the actions to
// execute in order. The slice is valid until the next call.
func (c *Claimer) Handle(now time.Time, e Event) []Action {
	c.actions = c.actions[:0]
	switch e := e.(type) {
	case Request:
		c.queue = append(c.queue, queuedClaim{Request: e})
	case Finished:
		c.handleFinished(now, e)
	case Released:
		c.dequeue(e.Nonce)
		c.updates = append(c.updates, Record{Op: OpRelease, Key: e.Key, Nonce: e.Nonce, At: now})
	case HeadRead:
		c.handleHeadRead(now, e)
	case SealedRead:
		c.handleSealedRead(now, e)
	case HeadWritten:
		c.handleHeadWritten(now, e)
	case SealedWritten:
		c.handleSealedWritten(now, e)
	}
	c.advance(now)
	return c.actions
}

// Pending returns the number of claims and updates that await a commit.
func (c *Claimer) Pending() int { return len(c.queue) + len(c.updates) + len(c.committing) }

func (c *Claimer) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Claimer) handleFinished(now time.Time, e Finished) {
	if len(e.Answer.Body) > c.limits.MaxAnswerBytes {
		e.Answer = Answer{}
	}
	c.updates = append(c.updates, Record{Op: OpDone, Key: e.Key, Nonce: e.Nonce, At: now, Answer: &e.Answer})
}

// dequeue removes a released claim from the queue.
func (c *Claimer) dequeue(n Nonce) {
	kept := c.queue[:0]
	for _, p := range c.queue {
		if p.Nonce != n {
			kept = append(kept, p)
		}
	}
	c.queue = kept
}

// advance starts the next step unless one is in progress.
func (c *Claimer) advance(now time.Time) {
	// Updates without claims are delayed, to share the write of the next claims.
	if len(c.queue) == 0 && (len(c.updates) == 0 || now.Sub(c.updates[0].At) < maxUpdateDelay) {
		return
	}
	switch c.state {
	case notLoaded:
		if now.Before(c.retryAt) {
			c.rejectQueued(now)
			return
		}
		c.state = loading
		c.emit(ReadHead{})
	case ready:
		if now.Before(c.nextCommitAt) {
			c.emit(Wake{At: c.nextCommitAt})
			return
		}
		c.commit(now)
	}
}

func (c *Claimer) handleHeadRead(now time.Time, e HeadRead) {
	if c.state != loading {
		return
	}
	if e.Err != OK {
		c.backOff(now)
		return
	}
	c.head, c.version, c.headCurrentAt = e.Page, e.Version, now
	c.missingPages = c.missingPages[:0]
	for _, name := range e.Page.Sealed {
		if _, ok := c.sealedPages[name]; !ok {
			c.missingPages = append(c.missingPages, name)
			c.emit(ReadSealed{Name: name})
		}
	}
	if len(c.missingPages) == 0 {
		c.rebuildIndex()
	}
}

func (c *Claimer) handleSealedRead(now time.Time, e SealedRead) {
	if c.state != loading {
		return
	}
	if e.Err != OK {
		c.backOff(now)
		return
	}
	c.sealedPages[e.Name] = e.Page
	for i, name := range c.missingPages {
		if name == e.Name {
			c.missingPages = append(c.missingPages[:i], c.missingPages[i+1:]...)
			break
		}
	}
	if len(c.missingPages) == 0 {
		c.rebuildIndex()
	}
}

// backOff rejects the queued claims after a failed platform call. The shard is
// read again after retryDelay.
func (c *Claimer) backOff(now time.Time) {
	c.state = notLoaded
	c.retryAt = now.Add(retryDelay)
	c.rejectQueued(now)
}

// rejectQueued replies Unavailable to every queued claim. A claim that the log
// may contain is released by the next commit.
func (c *Claimer) rejectQueued(now time.Time) {
	for _, p := range c.queue {
		c.emit(Reply{Ticket: p.Ticket, Outcome: Unavailable})
		if p.written {
			c.updates = append(c.updates, Record{Op: OpRelease, Key: p.Key, Nonce: p.Nonce, At: now})
		}
	}
	c.queue = c.queue[:0]
}

// commit replies to the queued claims that the index can answer and writes the
// others, together with the pending updates, as the next batch.
func (c *Claimer) commit(now time.Time) {
	records := c.takeUpdates()
	claimedKeys := map[Key]bool{}
	remaining := c.queue[:0]
	stale := now.Sub(c.headCurrentAt) > maxHeadAge
	needsHeadRead := false
	for _, r := range c.queue {
		existing, ok := c.index[r.Key]
		switch {
		case ok && stale && existing.answer == nil && existing.nonce != r.Nonce:
			needsHeadRead = true
			remaining = append(remaining, r)
		case ok:
			c.replyFromIndex(r.Request, existing)
		case !r.Latest.IsZero() && now.After(r.Latest):
			// An earlier claim of this key may already have expired and been
			// dropped, so granting could run the request twice.
			c.emit(Reply{Ticket: r.Ticket, Outcome: Unavailable})
		case claimedKeys[r.Key] || len(records) >= c.limits.MaxBatchRecords:
			remaining = append(remaining, r)
		case len(c.head.Sealed) >= c.limits.MaxPages:
			c.emit(Reply{Ticket: r.Ticket, Outcome: Full})
		default:
			claimedKeys[r.Key] = true
			records = append(records, Record{
				Op: OpClaim, Key: r.Key, Digest: r.Digest, Nonce: r.Nonce, Holder: r.Holder, At: now, Expires: unixSeconds(r.Expires),
			})
			c.committing = append(c.committing, r)
		}
	}
	c.queue = remaining
	switch {
	case len(records) == 0 && needsHeadRead:
		c.state = loading
		c.emit(ReadHead{})
		return
	case len(records) == 0:
		return
	}
	c.nextCommitAt = now.Add(minCommitInterval)
	c.write(now, records)
}

// takeUpdates returns the next batch of updates that still have an effect. It
// discards those that the log already contains or that no longer apply.
func (c *Claimer) takeUpdates() []Record {
	kept := c.updates[:0]
	for _, u := range c.updates {
		if existing, ok := c.index[u.Key]; ok && existing.nonce == u.Nonce && existing.answer == nil {
			u.Expires = existing.expires
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

func (c *Claimer) replyFromIndex(r Request, e claim) {
	reply := Reply{Ticket: r.Ticket, Outcome: Held, Holder: e.holder}
	switch {
	case e.digest != r.Digest:
		reply.Outcome = Mismatch
	case e.answer != nil:
		reply.Outcome, reply.Answer = Answered, *e.answer
	case e.nonce == r.Nonce:
		reply.Outcome = Granted
	}
	c.emit(reply)
}

func (c *Claimer) write(now time.Time, records []Record) {
	added := sizeOf(records)
	c.nextHead = Page{Sealed: c.unexpired(now)}
	if len(c.head.Records) > 0 && c.headBytes+added > c.limits.PageBytes {
		c.sealingName = fmt.Sprintf("%016x-%d", c.rnd.Uint64(), lastExpiry(c.head.Records))
		c.nextHead.Records = records
		c.state = sealing
		c.emit(WriteSealed{Name: c.sealingName, Page: Page{Records: c.head.Records}})
		return
	}
	c.nextHead.Records = append(append([]Record(nil), c.head.Records...), records...)
	c.state = writing
	c.emit(WriteHead{Page: c.nextHead, Version: c.version})
}

func (c *Claimer) handleSealedWritten(now time.Time, e SealedWritten) {
	if c.state != sealing {
		return
	}
	if e.Err != OK {
		c.requeue()
		c.backOff(now)
		return
	}
	c.sealedPages[c.sealingName] = Page{Records: c.head.Records}
	c.nextHead.Sealed = append(append([]string(nil), c.nextHead.Sealed...), c.sealingName)
	c.state = writing
	c.emit(WriteHead{Page: c.nextHead, Version: c.version})
}

func (c *Claimer) handleHeadWritten(now time.Time, e HeadWritten) {
	if c.state != writing {
		return
	}
	if e.Err != OK {
		// The page shows whether the write took effect: a claim that is found
		// with its own nonce is granted.
		c.requeue()
		c.state = loading
		c.emit(ReadHead{})
		return
	}
	c.dropExpired(now)
	c.version, c.head, c.headCurrentAt = e.Version, c.nextHead, now
	c.indexHead()
	for _, r := range c.committing {
		c.emit(Reply{Ticket: r.Ticket, Outcome: Granted})
	}
	c.committing = c.committing[:0]
	c.state = ready
}

func (c *Claimer) requeue() {
	for _, p := range c.committing {
		p.written = true
		c.queue = append(c.queue, p)
	}
	c.committing = c.committing[:0]
}

const recordOverheadBytes = 96 // size of a record without its response and holder

func sizeOf(records []Record) int {
	n := 0
	for _, r := range records {
		n += recordOverheadBytes + len(r.Holder)
		if r.Answer != nil {
			n += len(r.Answer.Body) + len(r.Answer.ContentType)
		}
	}
	return n
}
