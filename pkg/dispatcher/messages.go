package dispatcher

import (
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/failure"
)

// Event is an input of the machine.
type Event interface{ event() }

// Accepted starts the request.
type Accepted struct{}

// Admitted says that the queue let the request pass.
type Admitted struct{}

// Rejected says that the queue refused the request.
type Rejected struct{ Kind failure.Kind }

// Claimed is the ledger's answer to Claim.
type Claimed struct {
	Outcome claimer.Outcome
	Answer  claimer.Answer // with claimer.Answered
	// HolderAlive says whether the node that holds the claim still runs.
	HolderAlive bool
}

// Target is a chosen upstream.
type Target struct {
	Upstream    string
	Incarnation string // as last reported, empty if unknown
	// LeavesAt is when it stops to take new work; zero for never.
	LeavesAt time.Time
}

// Routed is the answer to Route; Kind is failure.None if a target was found.
type Routed struct {
	Target Target
	Kind   failure.Kind
}

// Refused says that the upstream did not run the attempt: it could not be
// reached, or it said so itself.
type Refused struct{ Attempt string }

// Opened is the start of an upstream's answer.
type Opened struct {
	Attempt     string
	Incarnation string
}

// Chunk is one piece of a streamed answer.
type Chunk struct {
	Attempt string
	Offset  int
	Data    []byte
}

// Ended is the end mark of a stream; Total is the offset after the last chunk.
type Ended struct {
	Attempt string
	Total   int
}

// FullAnswer is an answer that was read to its end in one piece.
type FullAnswer struct {
	Attempt string
	Answer  claimer.Answer
}

// Broken says that an attempt ended without its end mark. Crashed says that
// the upstream itself is known to have died. Silent says that it made no
// progress in time.
type Broken struct {
	Attempt        string
	RequestWritten bool
	Crashed        bool
	Silent         bool
}

// Quarantined says that the request is in quarantine.
type Quarantined struct{}

// Tick lets time pass; the machine looks at its deadline and poll time.
type Tick struct{}

// CallerGone says that the caller has closed its connection.
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
func (Quarantined) event() {}
func (Tick) event()        {}
func (CallerGone) event()  {}

// Action is an output of the machine, to be carried out in order.
type Action interface{ action() }

// Enqueue asks for admission.
type Enqueue struct{}

// Claim asks the ledger for the right to run the request.
type Claim struct{}

// PollClaim asks to claim again after a pause, since another node runs it.
type PollClaim struct{ Delay time.Duration }

// Route asks for an upstream other than those of Exclude.
type Route struct {
	Exclude []string
	Retry   bool
}

// Mode says how an attempt starts.
type Mode uint8

// The modes.
const (
	// Fresh sends the request from its start.
	Fresh Mode = iota + 1
	// Resume asks the same engine for the rest of an attempt.
	Resume
	// Continue asks an engine to go on from the text already sent.
	Continue
)

// Send starts an attempt. The first byte may leave only after it.
type Send struct {
	Attempt string
	Target  Target
	Mode    Mode
	// FromOffset is the first offset that is wanted.
	FromOffset int
}

// Cancel gives an attempt up.
type Cancel struct{ Attempt string }

// Write passes a chunk to the caller.
type Write struct {
	Offset int
	Data   []byte
}

// Answer passes a whole answer to the caller and ends the request.
type Answer struct{ Answer claimer.Answer }

// Finish writes the end mark and ends the request.
type Finish struct{}

// Fail tells the caller the kind and ends the request; within a stream that
// has begun it is an error event.
type Fail struct{ Kind failure.Kind }

// Record keeps the answer in the ledger.
type Record struct{ Answer claimer.Answer }

// Release gives the claim back: the request was not run.
type Release struct{}

// CountDrop counts a chunk that was late, crossed or doubled.
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
