package peerlink

import (
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/follower"
	"github.com/auburnnotch/auburnnotch/pkg/limiter"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/permitter"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
	"github.com/auburnnotch/auburnnotch/pkg/ratetracker"
)

// Hint is a placement hint: the upstream has computed these pieces of a prompt and
// probably has them cached.
type Hint struct {
	Upstream string   `msgpack:"u"`
	Pieces   []uint64 `msgpack:"p"`
}

// Message is a request between nodes or the reply to one. A request sets one field;
// the reply sets the matching one.
type Message struct {
	// Digest is a membership probe or the reply to one.
	Digest *member.Digest `msgpack:"d,omitempty"`
	// Indirect requests an indirect probe: the receiver probes this member for the
	// sender.
	Indirect *member.Info `msgpack:"i,omitempty"`
	// Pull requests the configuration. Document is the reply; it is also sent
	// unrequested when a new configuration comes in force.
	Pull     bool               `msgpack:"p,omitempty"`
	Document *follower.Document `msgpack:"c,omitempty"`
	// Suspects reports requests that may crash upstreams.
	Suspects []quarantiner.Report `msgpack:"q,omitempty"`
	// Claim, Finish and Release are sent to the preferred writer of a ledger shard.
	// Reply is the reply to a Claim.
	Claim   *claimer.Request  `msgpack:"l,omitempty"`
	Reply   *claimer.Reply    `msgpack:"r,omitempty"`
	Finish  *claimer.Finished `msgpack:"f,omitempty"`
	Release *claimer.Released `msgpack:"g,omitempty"`
	// Hints reports where prompts were placed recently.
	Hints []Hint `msgpack:"h,omitempty"`
	// OK acknowledges a message that has no other reply.
	OK bool `msgpack:"o,omitempty"`
	// Permit asks the arbiter of a suspect for the permission to run it. Permitted is the
	// reply.
	Permit    *permitter.Request `msgpack:"t,omitempty"`
	Permitted *permitter.Reply   `msgpack:"v,omitempty"`
	// Query asks a node for its state of a suspect. State is the reply.
	Query *permitter.Query   `msgpack:"k,omitempty"`
	State *quarantiner.State `msgpack:"s,omitempty"`
	// Pace asks the arbiter of an upstream, which has said this, whether it takes a request. Paced
	// is the reply.
	Pace  *ratetracker.Statement `msgpack:"w,omitempty"`
	Paced *limiter.Decision      `msgpack:"x,omitempty"`
}
