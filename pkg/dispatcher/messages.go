package dispatcher

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Event is an input of a Dispatcher.
type Event interface{ event() }

// Accepted starts the request.
type Accepted struct{}

// Admitted reports that the admission queue admitted the request.
type Admitted struct{}

// Rejected reports that the admission queue rejected the request.
type Rejected struct{ Kind failure.Kind }

// Claimed is the ledger's reply to Claim.
type Claimed struct {
	Outcome claimer.Outcome
	Answer  claimer.Answer // with claimer.Answered
	// HolderAlive reports whether the node that holds the claim is still running.
	HolderAlive bool
}

// Target is the upstream chosen for an attempt.
type Target struct {
	Upstream    string
	Incarnation string // as last reported, empty if unknown
	// LeavesAt is when it stops accepting new work; zero means never.
	LeavesAt time.Time
}

// Routed is the reply to Route. Kind is failure.None if a target was found.
type Routed struct {
	Target Target
	Kind   failure.Kind
}

// Refused reports that the upstream did not run the attempt: it was unreachable
// or refused the request.
type Refused struct{ Attempt string }

// Opened reports the start of an upstream's response.
type Opened struct {
	Attempt     string
	Incarnation string
}

// Chunk is one chunk of a streamed response.
type Chunk struct {
	Attempt string
	Offset  int
	Data    []byte
}

// Ended is the end mark of a stream. Total is the offset after the last chunk.
type Ended struct {
	Attempt string
	Total   int
}

// FullAnswer is a complete response that was not streamed.
type FullAnswer struct {
	Attempt string
	Answer  claimer.Answer
}

// Broken reports that an attempt ended before its response was complete.
type Broken struct {
	Attempt string
	// RequestWritten means that the upstream may have received the request.
	RequestWritten bool
	// Crashed means that the upstream is known to have crashed.
	Crashed bool
	// Silent means that the connection made no progress in time.
	Silent bool
}

// Abandoned reports that the attempt was ended, and that the request isn't to be tried again.
type Abandoned struct{ Attempt string }

// Quarantined reports that the request is in quarantine, as it may crash
// upstreams.
type Quarantined struct{}

// Tick makes the Dispatcher check the deadline.
type Tick struct{}

// CallerGone reports that the caller has closed its connection.
type CallerGone struct{}

func (Accepted) event()    {}
func (Admitted) event()    {}
func (Rejected) event()    {}
func (Claimed) event()     {}
func (Routed) event()      {}
func (Refused) event()     {}
func (Opened) event()      {}
func (Chunk) event()       {}
func (Ended) event()       {}
func (FullAnswer) event()  {}
func (Broken) event()      {}
func (Abandoned) event()   {}
func (Quarantined) event() {}
func (Tick) event()        {}
func (CallerGone) event()  {}

// Action is an output of a Dispatcher. Actions are executed in order.
type Action interface{ action() }

// Enqueue requests admission.
type Enqueue struct{}

// Claim requests the claim of a non-idempotent request from the ledger.
type Claim struct{}

// PollClaim requests another Claim after a delay, since another node holds the
// claim.
type PollClaim struct{ Delay time.Duration }

// Route requests an upstream that is not in Exclude.
type Route struct {
	Exclude []string
	Retry   bool
}

// Mode is how an attempt starts.
type Mode uint8

// The modes.
const (
	// Fresh sends the request from the beginning.
	Fresh Mode = iota + 1
	// Resume requests the rest of a running attempt from the same engine.
	Resume
	// Continue lets an engine continue from the text that was already sent.
	Continue
)

// Send starts an attempt. No byte may be sent to the upstream before it.
type Send struct {
	Attempt string
	Target  Target
	Mode    Mode
	// FromOffset is the offset of the first chunk to send.
	FromOffset int
}

// Cancel aborts an attempt.
type Cancel struct{ Attempt string }

// Write passes a chunk to the caller.
type Write struct {
	Offset int
	Data   []byte
}

// Answer passes a complete response to the caller and ends the request.
type Answer struct{ Answer claimer.Answer }

// Finish writes the end mark of the stream and ends the request.
type Finish struct{}

// Fail reports the kind to the caller and ends the request. In a stream that has
// begun, the report is an error event.
type Fail struct{ Kind failure.Kind }

// Record stores the response in the ledger.
type Record struct{ Answer claimer.Answer }

// Release gives up the claim of a request that was not run.
type Release struct{}

// CountDrop counts a chunk or response that was dropped: it was late, a
// duplicate, out of order or of another attempt.
type CountDrop struct{}

func (Enqueue) action()   {}
func (Claim) action()     {}
func (PollClaim) action() {}
func (Route) action()     {}
func (Send) action()      {}
func (Cancel) action()    {}
func (Write) action()     {}
func (Answer) action()    {}
func (Finish) action()    {}
func (Fail) action()      {}
func (Record) action()    {}
func (Release) action()   {}
func (CountDrop) action() {}
