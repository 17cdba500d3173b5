// Package isolator asks for the permission to run a suspect, a request that may crash
// upstreams, and gives it: one node at a time runs it, until it has succeeded. The arbiter
// of a suspect is selected by rendezvous hashing over the live nodes.
package isolator

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/member"
	"github.com/auburnnotch/auburnnotch/pkg/permitter"
	"github.com/auburnnotch/auburnnotch/pkg/quarantiner"
)

const (
	// arbiterTimeout leaves the arbiter time to ask the holder.
	arbiterTimeout = 1500 * time.Millisecond
	holderTimeout  = 600 * time.Millisecond
	maxPermits     = 4096
)

// Exchanger sends a message to a peer and returns the peer's reply.
type Exchanger interface {
	ExchangeWithin(ctx context.Context, addr string, m *peerlink.Message, limit time.Duration) (*peerlink.Message, error)
}

// Members provides the live members and the description of this node.
type Members interface {
	Live() []member.Info
	Self() member.Info
}

// Suspects provides and receives what this node knows of suspects.
type Suspects interface {
	SuspectState(f quarantiner.Fingerprint) quarantiner.State
	MergeReports(reports []quarantiner.Report)
}

// Isolator asks for and gives permissions to run suspects. It is safe for concurrent use.
type Isolator struct {
	clk      clock.Clock
	peers    Exchanger
	members  Members
	suspects Suspects

	mu        sync.Mutex
	permitter *permitter.Permitter
}

// New returns an Isolator that has given no permission yet.
func New(clk clock.Clock, peers Exchanger, members Members, suspects Suspects) *Isolator {
	return &Isolator{clk: clk, peers: peers, members: members, suspects: suspects, permitter: permitter.New(maxPermits)}
}

// Ask asks whether this node may run the suspect f now, and merges what the arbiter knows
// of it. The verdict is Wait if the arbiter can't be reached: until the members have found
// that it is dead, it may have permitted a run elsewhere.
func (i *Isolator) Ask(ctx context.Context, f quarantiner.Fingerprint) quarantiner.Verdict {
	req := permitter.Request{Fingerprint: f, Node: nodeName(i.members.Self()), Reports: i.suspects.SuspectState(f).Reports}
	arbiter := member.Arbiter(i.members.Live(), i.members.Self(), uint64(f))
	if arbiter.Name == i.members.Self().Name {
		return i.permit(ctx, req).Verdict
	}
	m, err := i.peers.ExchangeWithin(ctx, arbiter.Address, &peerlink.Message{Permit: &req}, arbiterTimeout)
	switch {
	case errors.Is(err, io.EOF): // a node of an earlier release, which knows no permissions
		return quarantiner.Isolated
	case err != nil || m.Permitted == nil:
		return quarantiner.Wait
	}
	i.suspects.MergeReports(m.Permitted.Reports)
	return m.Permitted.Verdict
}

// HandleMessage processes a message on suspects from a peer and returns the reply. It
// returns nil for messages of other services.
func (i *Isolator) HandleMessage(ctx context.Context, m *peerlink.Message) *peerlink.Message {
	switch {
	case m.Permit != nil:
		r := i.permit(ctx, *m.Permit)
		return &peerlink.Message{Permitted: &r}
	case m.Query != nil:
		s := i.suspects.SuspectState(m.Query.Fingerprint)
		return &peerlink.Message{State: &s}
	}
	return nil
}

// permit decides as the arbiter. What the last holder knows goes first: its report of a
// crash may be on its way.
func (i *Isolator) permit(ctx context.Context, req permitter.Request) permitter.Reply {
	i.suspects.MergeReports(req.Reports)
	holder := i.holder(req.Fingerprint)
	if holder != "" && holder != req.Node {
		s, err := i.queryHolder(ctx, holder, req.Fingerprint)
		if err != nil || s.Running {
			return permitter.Reply{Verdict: quarantiner.Wait}
		}
		i.suspects.MergeReports(s.Reports)
	}
	s := i.suspects.SuspectState(req.Fingerprint)
	reply := permitter.Reply{Verdict: s.Verdict, Reports: s.Reports}
	if s.Verdict == quarantiner.Isolated && !i.grant(req, holder) {
		reply.Verdict = quarantiner.Wait
	}
	return reply
}

func (i *Isolator) holder(f quarantiner.Fingerprint) string {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.permitter.Holder(i.clk.Now(), f)
}

func (i *Isolator) grant(req permitter.Request, from string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.permitter.Grant(i.clk.Now(), req.Fingerprint, from, req.Node)
}

// queryHolder returns what the holder knows of f, and nothing for a holder that is dead or
// has restarted.
func (i *Isolator) queryHolder(ctx context.Context, holder string, f quarantiner.Fingerprint) (quarantiner.State, error) {
	if holder == nodeName(i.members.Self()) {
		return i.suspects.SuspectState(f), nil
	}
	for _, m := range i.members.Live() {
		if nodeName(m) != holder {
			continue
		}
		out, err := i.peers.ExchangeWithin(ctx, m.Address, &peerlink.Message{Query: &permitter.Query{Fingerprint: f}}, holderTimeout)
		switch {
		case err != nil:
			return quarantiner.State{}, errors.Annotatef(err, "ask %s for its state of a suspect", m.Name)
		case out.State == nil:
			return quarantiner.State{}, errors.Errorf("%s sent no state of a suspect", m.Name)
		}
		return *out.State, nil
	}
	return quarantiner.State{}, nil
}

func nodeName(m member.Info) string { return fmt.Sprintf("%s@%d", m.Name, m.BootID) }
