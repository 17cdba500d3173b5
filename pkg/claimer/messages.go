package claimer

import "time"

// Key identifies a claim. It is a hash of workspace, route and idempotency key.
type Key [16]byte

// Digest is the hash of a claimed request's body.
type Digest [16]byte

// Nonce is unique to each attempt to claim.
type Nonce uint64

// Answer is a stored response. The zero value means that the request may have
// run and its response is lost.
type Answer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"c"`
	Body        []byte `msgpack:"b"`
}

// Lost reports whether the response is unknown.
func (a Answer) Lost() bool { return a.Status == 0 }

// Outcome is the result of a claim.
type Outcome uint8

// The outcomes.
const (
	// Granted means that the claim is committed and the caller may dispatch.
	Granted Outcome = iota + 1
	// Held means that another attempt holds the claim and no response is stored
	// yet.
	Held
	// Answered means that the request ran and its response, or the fact that it
	// is lost, is stored.
	Answered
	// Mismatch means that the key was used with a different request body.
	Mismatch
	// Unavailable means that the claim is not granted, since the platform could
	// not be reached or the claim came too late.
	Unavailable
	// Full means that the shard has no room for more claims.
	Full
)

// Op is the operation that a record describes.
type Op uint8

// The operations.
const (
	OpClaim Op = iota + 1
	OpDone
	OpRelease
)

// Record is one entry of the log. A page lists its records in log order.
type Record struct {
	Op     Op        `msgpack:"o"`
	Key    Key       `msgpack:"k"`
	Digest Digest    `msgpack:"d,omitempty"`
	Nonce  Nonce     `msgpack:"n"`
	Holder string    `msgpack:"h,omitempty"`
	At     time.Time `msgpack:"t"`
	Answer *Answer   `msgpack:"a,omitempty"`
	// Expires is when the claim expires, in Unix seconds; 0 means never.
	Expires int64 `msgpack:"e,omitempty"`
}

// Page is the stored value of a shard's head or of a sealed page.
type Page struct {
	Records []Record `msgpack:"r"`
	// Sealed lists the names of the sealed pages that precede this one, oldest
	// first.
	Sealed []string `msgpack:"s,omitempty"`
}

// Event is an input of the state machine.
type Event interface{ event() }

// Request is a request for a claim. The reply carries the same ticket.
type Request struct {
	Ticket uint64
	Key    Key
	Digest Digest
	Nonce  Nonce
	Holder string
	// Latest is the latest time at which the claim may be granted, and Expires
	// the time at which it may be dropped. Both are zero for a key that never
	// expires. The time between them must exceed the clock skew of any two
	// nodes; otherwise a claim could be granted after an earlier one of the same
	// key was dropped.
	Latest, Expires time.Time
}

// Finished provides the response of a claimed request to be stored.
type Finished struct {
	Key    Key
	Nonce  Nonce
	Answer Answer
}

// Released gives up a claim whose request was not dispatched.
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

// Fault is the result of a platform call.
type Fault uint8

// The results of a platform call.
const (
	// OK means that the call succeeded.
	OK Fault = iota
	// Lost means that no response arrived: the call may have taken effect.
	Lost
	// Conflicted means that the stored version differs from the expected one.
	Conflicted
)

// Tick triggers the work that has become due, such as updates that were delayed
// by an outage.
type Tick struct{}

func (Tick) event()          {}
func (Request) event()       {}
func (Finished) event()      {}
func (Released) event()      {}
func (HeadRead) event()      {}
func (SealedRead) event()    {}
func (HeadWritten) event()   {}
func (SealedWritten) event() {}

// Action is an output of the state machine.
type Action interface{ action() }

// ReadHead requests the shard's head page.
type ReadHead struct{}

// ReadSealed requests a sealed page.
type ReadSealed struct{ Name string }

// WriteHead replaces the head page if its version is still Version.
type WriteHead struct {
	Page    Page
	Version uint64
}

// WriteSealed creates a sealed page under a new name.
type WriteSealed struct {
	Name string
	Page Page
}

// ClearSealed empties a sealed page that the head no longer lists.
type ClearSealed struct{ Name string }

func (ClearSealed) action() {}

// Reply reports the outcome of the request that has the same ticket.
type Reply struct {
	Ticket  uint64
	Outcome Outcome
	Holder  string // with Held
	Answer  Answer // with Answered
}

// Wake requests a Tick at the time At.
type Wake struct{ At time.Time }

func (Wake) action()        {}
func (ReadHead) action()    {}
func (ReadSealed) action()  {}
func (WriteHead) action()   {}
func (WriteSealed) action() {}
func (Reply) action()       {}
