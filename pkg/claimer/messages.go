package claimer

import "time"

// Key identifies a claim: the hash of workspace, route and idempotency key.
type Key [16]byte

// Digest identifies the body of a claimed request.
type Digest [16]byte

// Nonce is unique for each try to claim.
type Nonce uint64

// Answer is a kept answer. The zero value says that the request may have run
// and its answer is lost.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
}

// Lost reports whether the answer is that none is known.
func (a Answer) Lost() bool { return a.Status == 0 }

// Outcome is the ledger's answer to a claim.
type Outcome uint8

// The outcomes.
const (
	// Granted means that the claim is committed and the caller may dispatch.
	Granted Outcome = iota + 1
	// Held means that another try has the claim and no answer is kept yet.
	Held
	// Answered means that the request was run and its answer is kept.
	Answered
	// Mismatch means that the key was used with another body.
	Mismatch
	// Unavailable means that the platform could not be asked; the claim is
	// not granted.
	Unavailable
	// Full means that the shard can take no more claims.
	Full
)

// Op is the kind of a record.
type Op uint8

// The operations.
const (
	OpClaim Op = iota + 1
	OpDone
	OpRelease
)

// Record is one entry of a page, in the order of the log.
type Record struct {
	Op     Op        `msgpack:"o"`
	Key    Key       `msgpack:"k"`
	Digest Digest    `msgpack:"d,omitempty"`
	Nonce  Nonce     `msgpack:"n"`
	Holder string    `msgpack:"h,omitempty"`
	At     time.Time `msgpack:"t"`
	Answer *Answer   `msgpack:"a,omitempty"`
	// Expires is that of the claim, as Unix seconds; 0 for never.
	Expires int64 `msgpack:"e,omitempty"`
}

// Page is the value of a shard's head, or of a sealed page.
type Page struct {
	Records []Record `msgpack:"r"`
	// Sealed lists the sealed pages before this one, oldest first.
	Sealed []string `msgpack:"s,omitempty"`
}

// Event is an input of a shard.
type Event interface{ event() }

// Request asks for a claim; the outcome comes with the same ticket.
type Request struct {
	Ticket uint64
	Key    Key
	Digest Digest
	Nonce  Nonce
	Holder string
	// Latest is the last time at which the claim may be made, and Expires when
	// it may be forgotten; both are zero for a key that is kept for ever. What
	// lies between must exceed the difference of any two nodes' clocks.
	Latest, Expires time.Time
}

// Finished asks to keep an answer.
type Finished struct {
	Key    Key
	Nonce  Nonce
	Answer Answer
}

// Released gives a claim back that was not dispatched.
type Released struct {
	Key   Key
	Nonce Nonce
}

// HeadRead is the result of ReadHead.
type HeadRead struct {
	Page    Page
	Version uint64
	Err     Fault
}

// SealedRead is the result of ReadSealed.
type SealedRead struct {
	Name string
	Page Page
	Err  Fault
}

// HeadWritten is the result of WriteHead.
type HeadWritten struct {
	Version uint64
	Err     Fault
}

// SealedWritten is the result of WriteSealed.
type SealedWritten struct{ Err Fault }

// Fault is how a platform call failed.
type Fault uint8

// The faults.
const (
	// OK means that the call succeeded.
	OK Fault = iota
	// Lost means that no reply came: the call may have taken effect.
	Lost
	// Conflicted means that the version has moved on.
	Conflicted
)

// Tick lets time pass, for updates that wait after an outage.
type Tick struct{}

func (Tick) event()          {}
func (Request) event()       {}
func (Finished) event()      {}
func (Released) event()      {}
func (HeadRead) event()      {}
func (SealedRead) event()    {}
func (HeadWritten) event()   {}
func (SealedWritten) event() {}

// Action is an output of a shard.
type Action interface{ action() }

// ReadHead asks for the shard's head.
type ReadHead struct{}

// ReadSealed asks for a sealed page.
type ReadSealed struct{ Name string }

// WriteHead asks to write the head if it still has Version.
type WriteHead struct {
	Page    Page
	Version uint64
}

// WriteSealed asks to create a sealed page under a new name.
type WriteSealed struct {
	Name string
	Page Page
}

// ClearSealed asks to empty a sealed page that no head names any more.
type ClearSealed struct{ Name string }

func (ClearSealed) action() {}

// Reply answers the request with Ticket.
type Reply struct {
	Ticket  uint64
	Outcome Outcome
	Holder  string // with Held
	Answer  Answer // with Answered
}

// Wake asks for a Ticked at that time.
type Wake struct{ At time.Time }

func (Wake) action()        {}
func (ReadHead) action()    {}
func (ReadSealed) action()  {}
func (WriteHead) action()   {}
func (WriteSealed) action() {}
func (Reply) action()       {}
