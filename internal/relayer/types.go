package relayer

import (
	"context"
	"net/http"
	"time"

	"github.com/auburnnotch/auburnnotch/pkg/failure"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/matcher"
	"github.com/auburnnotch/auburnnotch/pkg/placer"
	"github.com/auburnnotch/auburnnotch/pkg/prover"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
	"github.com/auburnnotch/auburnnotch/pkg/traffic"
)

// Request is a request of a caller with its complete body.
type Request struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	// Target is the path and query as received; Path excludes the query.
	Target, Path string
	Host         string
	// Key is the caller's bearer token; empty if there was none.
	Key string
	// Header has the fields to forward. Hop-by-hop fields and fields that the
	// router sets itself are removed.
	Header http.Header
	Body   []byte
	// ReleaseBody is called once the body isn't needed any more; it may be nil.
	ReleaseBody func()
	// Timeout is how long the caller waits, counted from Arrived; 0 if the
	// caller sent no timeout.
	Timeout time.Duration
	Arrived time.Time
	// Prompt is nil for plain requests.
	Prompt *traffic.Prompt
	// Tokens is the length of the prompt and of the longest output, 0 if the caller doesn't
	// tell them.
	Tokens int
	// ExpectedOutput is the caller's estimate of the output in tokens, 0 for none.
	ExpectedOutput int
	// LastEventID is the ID of the event after which a stream resumes; empty
	// for a new stream.
	LastEventID string
	// Disconnected reports whether the caller has closed its connection. The request's context may
	// end later than that. It may be nil.
	Disconnected func() bool
	// charge is what was charged to the workspace's limit for this attempt of the caller; nil
	// if nothing was.
	charge *charge
}

// dropBody drops a body that won't be sent again.
func (r *Request) dropBody() {
	r.Body = nil
	if r.ReleaseBody != nil {
		r.ReleaseBody()
	}
}

// Attempt holds what is sent to an upstream in addition to the request.
type Attempt struct {
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Upstream is the registered name of the intended upstream.
	Upstream string
	// Version is the version of the model's weights that the engine is expected
	// to have; 0 for none.
	Version   int
	Workspace string
	// Salt separates cached parts that must not be shared between requests;
	// empty for plain requests.
	Salt string
	// Priority ranges from 0, the most urgent, to 9; -1 for none.
	Priority int
	// Source is the address of an engine to fetch cached parts from; empty for
	// none.
	Source string
	// SaveTo is the address of a cache store to save the parts to; empty for
	// none.
	SaveTo string
	// LastEventID is the ID of the event after which a stream resumes; empty
	// for a new stream.
	LastEventID string
}

// ResponseInfo is the router's metadata in the header of an upstream's response.
type ResponseInfo struct {
	// RequestID is the ID of the request that the response belongs to.
	RequestID string
	// NotRun reports that the upstream didn't run the request and never will.
	NotRun bool
	// Misdirected reports that the request was meant for another incarnation or
	// another version of the weights.
	Misdirected bool
	// Stamped reports whether the response has an upstream's stamp.
	Stamped bool
	// Upstream is the name that the responding upstream sent, if any.
	Upstream string
	// Version is the version of the weights that produced the response; 0 if
	// the upstream sent none.
	Version int
	// Leaving reports that the upstream is about to leave and wants no new requests.
	Leaving bool
	// TurnAway is for how long the upstream wants no requests of this node; 0 if it
	// doesn't say.
	TurnAway time.Duration
	// RateLimited reports that the upstream takes only Rate requests per second from all
	// nodes together.
	RateLimited bool
	Rate        float64
}

// Dialect encodes attempts and decodes response headers in the protocol of the
// upstreams.
type Dialect interface {
	// AppendHeader appends the header lines of an attempt to dst.
	AppendHeader(dst []byte, r *Request, a *Attempt) []byte
	// ParseResponse decodes the header of a response.
	ParseResponse(status int, h http.Header) ResponseInfo
}

// ResponseWriter writes the response to the caller. The first call is exactly
// one of Refuse, Begin and Abort.
type ResponseWriter interface {
	// Begin starts an upstream's response; length is -1 for a stream.
	Begin(status int, h http.Header, length int64)
	// Write forwards a piece of the body without buffering it.
	Write(p []byte) error
	// Refuse ends the request with an error of the router itself. retryAfter is
	// when the caller should retry; 0 if unspecified.
	Refuse(k failure.Kind, retryAfter time.Duration)
	// Abort closes the connection, so that an incomplete response doesn't look
	// complete.
	Abort()
}

// View is the fleet state as a node sees it. It is read-only.
type View struct {
	Matcher *matcher.Matcher
	// Versions has the latest versions of each model's weights, the newest last.
	Versions map[string][]ModelVersion
	// Nodes is the number of entry VMs that share the retry budgets.
	Nodes int
}

// ModelVersion is a version of a model's weights and the time of its
// announcement.
type ModelVersion struct {
	Version     int
	AnnouncedAt time.Time
}

// Fleet provides the node's view of the fleet.
type Fleet interface {
	// View returns nil until the node has a configuration.
	View() *View
	// Proof returns the freshness proof of the configuration.
	Proof() prover.Prover
	// StoreInReachSince returns since when the platform's store has been in reach, so that
	// the leader can order engines: the current time during an outage, the zero time if
	// there was none.
	StoreInReachSince() time.Time
}

// Adviser asks the placement coordinator, which has the traffic reports of all
// nodes.
type Adviser interface {
	// Ask returns the coordinator's advice, or placer.Unanswered if none arrives
	// in time. Question numbers increase.
	Ask(ctx context.Context, question uint64, q *placer.Query) (placer.Advice, placer.Verdict)
}

// Granter asks an aggregator whether the limit of a workspace admits a request.
type Granter interface {
	// Ask returns ok=false if no decision arrives in time.
	Ask(ctx context.Context, workspace string, cost float64) (d limiter.Decision, ok bool)
	// AskUpstream is the same for a request to an upstream that limits its requests.
	AskUpstream(ctx context.Context, s ratetracker.Statement) (d limiter.Decision, ok bool)
}
