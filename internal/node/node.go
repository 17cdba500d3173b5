// Package node assembles the services of the daemon: it opens the listeners,
// connects the services to each other and runs them under a supervisor.
package node

import (
	"context"
	"math/rand/v2"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/configkeeper"
	"github.com/auburnnotch/auburnnotch/internal/drainer"
	"github.com/auburnnotch/auburnnotch/internal/front"
	"github.com/auburnnotch/auburnnotch/internal/gossiper"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/isolator"
	"github.com/auburnnotch/auburnnotch/internal/ledger"
	"github.com/auburnnotch/auburnnotch/internal/memorykeeper"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/pacer"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/poller"
	"github.com/auburnnotch/auburnnotch/internal/reloader"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/selector"
	"github.com/auburnnotch/auburnnotch/internal/supervisor"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

// gcMemoryShare is the share of the process's memory that the garbage collector is limited
// to. Stacks, the runtime and socket buffers take the rest.
const gcMemoryShare = 0.6

// Node is one instance of the daemon with all its services.
type Node struct {
	supervisor *supervisor.Supervisor
	meter      *meter.Meter
}

// New creates the services of a node and opens its listeners. s must have its
// defaults set and must be valid.
func New(s config.Settings, clk clock.Clock, log logrus.FieldLogger) (*Node, error) {
	debug.SetMemoryLimit(int64(gcMemoryShare * s.Limits.MemoryMB * (1 << 20)))
	log = log.WithField("node", s.Name)
	boot := uint64(clk.Now().UnixNano())
	rnd := rand.New(rand.NewPCG(boot, xxhash.Sum64String(s.Name)))
	metrics := meter.New()
	memory := memorykeeper.New(clk, metrics.Scope(), int64(s.Limits.MemoryMB*(1<<20)))
	link, err := peerlink.New(s.PeerListen, s.PeerSecret, clk)
	if err != nil {
		return nil, errors.Trace(err)
	}
	store := platform.New(s.Platform, platform.NewHTTPClient(), metrics.Scope())
	self := member.Info{
		Name: s.Name, Address: link.Addr(), Entry: s.Advertise, DataCentre: s.DataCentre, Incarnation: boot, BootID: boot,
	}
	machine := member.New(self, member.DefaultTiming(), rand.New(rand.NewPCG(rnd.Uint64(), 1)))
	var gossip *gossiper.Gossiper
	keeper := configkeeper.New(clk, log, store, func() bool { return isWatcher(gossip.Live(), gossip.Self()) })
	gossip = gossiper.New(clk, log, link, machine, s.Peers, keeper.Revision, keeper.ReceiveRevision)
	keeper.SetPeers(link, gossip)
	claims := ledger.New(clk, log, store, link, gossip, rand.New(rand.NewPCG(rnd.Uint64(), 2)))
	sched := scheduler.New(clk, s.Limits.QueueLength, rand.New(rand.NewPCG(rnd.Uint64(), 3)))
	suspects := isolator.New(clk, link, gossip, sched)
	pace := pacer.New(clk, log, rand.New(rand.NewPCG(rnd.Uint64(), 4)), link, gossip)
	upstreams := upstreamer.New(clk)
	polls := poller.New(clk, log, upstreams, sched, store)
	keeper.OnChange(polls.Update)
	orders := drainer.New(clk, log, store, upstreams, keeper.Current, func() bool {
		return rank(gossip.Live(), gossip.Self(), "orders/", false) < leaderCandidates
	})
	link.SetHandler(messageHandler(gossip, keeper, claims, suspects, pace, sched))
	nodes := selector.New(s.DataCentre, keeper.Region)
	hints := hinter.New(clk, link, func(workspace string, weight int) []member.Info {
		return nodes.Select(gossip.Live(), workspace, weight)
	}, s.Name)
	f, err := front.New(s, front.Dependencies{
		Clock: clk, Log: log, Meter: metrics, Memory: memory, Config: keeper, Members: gossip,
		Scheduler: sched, Isolator: suspects, Ledger: claims, Upstreams: upstreams, Pacer: pace, Hinter: hints, Selector: nodes, Drainer: orders,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	sup, err := supervisor.New(reloader.New(log), link, sched, keeper, gossip, configkeeper.PlatformWatch{Keeper: keeper}, claims, polls, hints, orders, f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Node{supervisor: sup, meter: metrics}, nil
}

// messageHandler returns a handler for the messages of peers. It offers a message
// to each service in turn until one returns a reply; the result is nil if none does.
func messageHandler(g *gossiper.Gossiper, k *configkeeper.Keeper, l *ledger.Ledger, i *isolator.Isolator, p *pacer.Pacer, s *scheduler.Scheduler) peerlink.Handler {
	return func(ctx context.Context, m *peerlink.Message) *peerlink.Message {
		if out := g.HandleMessage(ctx, m); out != nil {
			return out
		}
		if out := k.HandleMessage(ctx, m); out != nil {
			return out
		}
		if out := l.HandleMessage(ctx, m); out != nil {
			return out
		}
		if out := i.HandleMessage(ctx, m); out != nil {
			return out
		}
		if out := p.HandleMessage(m); out != nil {
			return out
		}
		if m.Suspects != nil {
			s.MergeReports(m.Suspects)
			return &peerlink.Message{OK: true}
		}
		if m.Hints != nil {
			s.AddHints(m.Hints)
			return &peerlink.Message{OK: true}
		}
		return nil
	}
}

// watchersPerDataCentre is the number of nodes in a data centre that watch the
// platform's store. The other nodes receive changes from their peers.
const watchersPerDataCentre = 3

// leaderCandidates is the number of nodes in the fleet that campaign for the
// leader lease, which permits sending orders to engines.
const leaderCandidates = 2

// isWatcher reports whether self is one of the nodes of its data centre that
// watch the platform's store.
func isWatcher(live []member.Info, self member.Info) bool {
	return rank(live, self, "watch/", true) < watchersPerDataCentre
}

// rank returns the position of self for a role by rendezvous hashing: the number
// of live nodes with a higher score. If sameDataCentre is set, only nodes in the
// data centre of self are counted.
func rank(live []member.Info, self member.Info, role string, sameDataCentre bool) int {
	score := func(m member.Info) uint64 { return xxhash.Sum64String(role + m.Name) }
	n := 0
	for _, m := range live {
		if sameDataCentre && m.DataCentre != self.DataCentre {
			continue
		}
		if m.State == member.Alive && m.Name != self.Name && score(m) > score(self) {
			n++
		}
	}
	return n
}

// addressable is implemented by services that have a listener.
type addressable interface{ Addr() string }

// addr returns the listening address of a service, or an empty string if the
// service has none.
func (n *Node) addr(service string) string {
	s, err := supervisor.Find[addressable](n.supervisor, service)
	if err != nil {
		return ""
	}
	return s.Addr()
}

// Addr returns the listening address for callers and operators.
func (n *Node) Addr() string { return n.addr("front") }

// PeerAddr returns the listening address for other nodes.
func (n *Node) PeerAddr() string { return n.addr("peerlink") }

// Run runs the services until ctx is canceled and every accepted request has
// received its response.
func (n *Node) Run(ctx context.Context) error {
	defer n.meter.Close()
	return errors.Trace(n.supervisor.Run(ctx))
}
