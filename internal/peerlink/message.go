package peerlink

import (
	"github.com/auburnnotch/auburnnotch/pkg/claimer"
	"github.com/auburnnotch/auburnnotch/pkg/follower"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

// Hint says that an upstream computed the pieces of a prompt.
type Hint struct {
	Upstream string   `msgpack:"u"`
	Pieces   []uint64 `msgpack:"p"`
}

// Message is what nodes exchange. One field is set in a request; an answer
// has the matching one.
type Message struct {
	// Digest is a probe of the membership and its answer.
	Digest *member.Digest `msgpack:"d,omitempty"`
	// Indirect asks a helper to probe the member in place of the sender.
	Indirect *member.Info `msgpack:"i,omitempty"`
	// Pull asks for the configuration; Document answers it.
	Pull     bool               `msgpack:"p,omitempty"`
	Document *follower.Document `msgpack:"c,omitempty"`
	// Suspects spreads what is known of requests that crash upstreams.
	Suspects []quarantiner.Report `msgpack:"q,omitempty"`
	// Claim, Finish and Release go to the usual writer of a ledger shard.
	Claim   *claimer.Request  `msgpack:"l,omitempty"`
	Reply   *claimer.Reply    `msgpack:"r,omitempty"`
	Finish  *claimer.Finished `msgpack:"f,omitempty"`
	Release *claimer.Released `msgpack:"g,omitempty"`
	// Hints tells where prompts went lately.
	Hints []Hint `msgpack:"h,omitempty"`
	// OK says that a message without another answer was taken.
	OK bool `msgpack:"o,omitempty"`
}
