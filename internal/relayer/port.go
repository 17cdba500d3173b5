package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/matcher"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/prover"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Request is a request of a caller whose body was read to its end.
type Request struct {
	// ID names this attempt of the caller.
	ID     string
	Method string
	// Target is the path and query as they were sent; Path is without query.
	Target, Path string
	Host         string
	// Key is the caller's bearer key, empty if there was none.
	Key string
	// Header has what is passed on; the fields that the fleet sets itself and
	// those of the connection are taken out.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits from Arrived on; 0 if it didn't say.
	Timeout time.Duration
	Arrived time.Time
	// Prompt is nil for plain requests.
	Prompt *traffic.Prompt
	// LastEventID is the event after which a stream goes on; empty for none.
	LastEventID string
}

// Attempt is what an upstream is told besides the request.
type Attempt struct {
	// Remaining is how long the answer is waited for.
	Remaining time.Duration
	// Upstream is the registered name of the upstream that is meant.
	Upstream string
	// Version of the weights that the engine is believed to have; 0 for none.
	Version   int
	Workspace string
	// Salt separates the cached parts of prompts; empty for plain requests.
	Salt string
	// Priority is 0 for the most urgent to 9; -1 for none.
	Priority int
	// Source is the address of an engine to fetch cached parts from; empty for
	// none.
	Source string
	// SaveTo is the address of a store that is to keep the parts; empty for none.
	SaveTo string
	// LastEventID is the event after which a stream goes on; empty for none.
	LastEventID string
}

// ResponseInfo is what the head of an upstream's answer tells.
type ResponseInfo struct {
	// RequestID is that of the request it answers.
	RequestID string
	// NotRun says that the upstream didn't run the request and never will.
	NotRun bool
	// Misdirected says that another incarnation or other weights were meant.
	Misdirected bool
	// Stamped says that an upstream has marked the answer as its own.
	Stamped bool
	// Upstream is the name that the answering upstream gave itself, if any.
	Upstream string
	// Version is that of the weights that the answer is made on; 0 if untold.
	Version int
}

// Dialect puts attempts and answers into the words of the upstreams.
type Dialect interface {
	// AppendHeader appends the header lines of an attempt to dst.
	AppendHeader(dst []byte, r *Request, a *Attempt) []byte
	// ParseResponse reads the head of an answer.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ResponseWriter is the way back to the caller. Exactly one of Refuse, Begin and Abort
// comes first.
type ResponseWriter interface {
	// Begin starts an upstream's answer; length is -1 for a stream.
	Begin(status int, h http.Header, length int64)
	// Write passes a piece of the body on and doesn't hold it back.
	Write(p []byte) error
	// Refuse ends the request with a failure of the fleet's own. retryAfter is
	// when coming back is worth it; 0 for not told.
	Refuse(k failure.Kind, retryAfter time.Duration)
	// Abort ends the connection, so that an unfinished answer doesn't look
	// complete.
	Abort()
}

// View is what a node believes of the fleet. It is read-only.
type View struct {
	Matcher *matcher.Matcher
	// Versions has the latest versions of each model, the newest last.
	Versions map[string][]ModelVersion
	// Nodes is the number of entry VMs that share the budgets.
	Nodes int
}

// ModelVersion is a version of a model, and since when it is known to be named.
type ModelVersion struct {
	Version     int
	AnnouncedAt time.Time
}

// Fleet gives the node's view of the fleet.
type Fleet interface {
	// View returns nil while no configuration is known.
	View() *View
	// Proof returns the proof that the configuration is the newest.
	Proof() prover.Prover
}

// Adviser asks the node that knows what all nodes have sent.
type Adviser interface {
	// Ask returns its advice; placer.Unanswered if there is none in time. The
	// numbers of questions rise.
	Ask(ctx context.Context, question uint64, q *placer.Query) (placer.Advice, placer.Verdict)
}
