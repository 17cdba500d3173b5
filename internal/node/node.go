// Package node puts the services of one daemon together.
package node

import (
	"context"
	"math/rand/v2"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/configkeeper"
	"github.com/auburnnotch/auburnnotch/internal/drainer"
	"github.com/auburnnotch/auburnnotch/internal/front"
	"github.com/auburnnotch/auburnnotch/internal/gossiper"
	"github.com/auburnnotch/auburnnotch/internal/hinter"
	"github.com/auburnnotch/auburnnotch/internal/ledger"
	"github.com/auburnnotch/auburnnotch/internal/meter"
	"github.com/auburnnotch/auburnnotch/internal/peerlink"
	"github.com/auburnnotch/auburnnotch/internal/platform"
	"github.com/auburnnotch/auburnnotch/internal/poller"
	"github.com/auburnnotch/auburnnotch/internal/scheduler"
	"github.com/auburnnotch/auburnnotch/internal/selector"
	"github.com/auburnnotch/auburnnotch/internal/supervisor"
	"github.com/auburnnotch/auburnnotch/internal/upstreamer"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/pkg/member"
)

// Node is one daemon.
type Node struct {
	supervisor *supervisor.Supervisor
	meter      *meter.Meter
}

// New opens the listeners of a node. s has its defaults and has passed its
// checks.
func New(s config.Settings, clk clock.Clock, log logrus.FieldLogger) (*Node, error) {
	log = log.WithField("node", s.Name)
	boot := uint64(clk.Now().UnixNano())
	rnd := rand.New(rand.NewPCG(boot, xxhash.Sum64String(s.Name)))
	metrics := meter.New()
	link, err := peerlink.New(s.PeerListen, s.PeerSecret, clk)
	if err != nil {
		return nil, errors.Trace(err)
	}
	store := platform.New(s.Platform, &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}, metrics.Scope())
	self := member.Info{
		Name: s.Name, Address: link.Addr(), Entry: s.Advertise, DataCentre: s.DataCentre, Incarnation: boot, Boot: boot,
	}
	machine := member.New(self, member.DefaultTiming(), rand.New(rand.NewPCG(rnd.Uint64(), 1)))
	var gossip *gossiper.Gossiper
	keeper := configkeeper.New(clk, log, store, func() bool { return watches(gossip.Live(), gossip.Self()) })
	gossip = gossiper.New(clk, log, link, machine, s.Peers, keeper.Revision, keeper.ReceiveRevision)
	keeper.SetPeers(link, gossip)
	claims := ledger.New(clk, log, store, link, gossip, rand.New(rand.NewPCG(rnd.Uint64(), 2)))
	sched := scheduler.New(clk, s.Limits.QueueLength, rand.New(rand.NewPCG(rnd.Uint64(), 3)))
	upstreams := upstreamer.New(clk)
	polls := poller.New(clk, log, upstreams, sched, store, keeper.Current)
	keeper.OnChange(polls.Update)
	orders := drainer.New(clk, log, store, upstreams, keeper.Current, func() bool {
		return ahead(gossip.Live(), gossip.Self(), "orders/", false) < issuerCandidates
	})
	link.SetHandler(answer(gossip, keeper, claims, sched))
	nodes := selector.New(s.DataCentre, keeper.Region)
	hints := hinter.New(clk, link, func(workspace string, weight int) []member.Info {
		return nodes.Select(gossip.Live(), workspace, weight)
	}, s.Name)
	f, err := front.New(s, front.Dependencies{
		Clock: clk, Log: log, Meter: metrics, Config: keeper, Members: gossip,
		Scheduler: sched, Ledger: claims, Upstreams: upstreams, Hinter: hints, Selector: nodes, Drainer: orders,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	sup, err := supervisor.New(link, sched, keeper, gossip, configkeeper.PlatformWatch{Keeper: keeper}, claims, polls, hints, orders, f)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Node{supervisor: sup, meter: metrics}, nil
}

// answer passes a message to the service that knows it.
func answer(g *gossiper.Gossiper, k *configkeeper.Keeper, l *ledger.Ledger, s *scheduler.Scheduler) peerlink.Handler {
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

// watchersPerDataCentre is how many nodes of a data centre hold a watch on the
// platform; the others learn of changes from peers.
const watchersPerDataCentre = 3

// issuerCandidates is how many nodes of the fleet campaign for the lease of
// the orders.
const issuerCandidates = 2

// watches reports whether self is one of the watchers of its data centre.
func watches(live []member.Info, self member.Info) bool {
	return ahead(live, self, "watch/", true) < watchersPerDataCentre
}

// ahead returns how many live nodes, of the own data centre if near, come
// before self in the rendezvous order of a duty.
func ahead(live []member.Info, self member.Info, duty string, near bool) int {
	score := func(m member.Info) uint64 { return xxhash.Sum64String(duty + m.Name) }
	n := 0
	for _, m := range live {
		if near && m.DataCentre != self.DataCentre {
			continue
		}
		if m.State == member.Alive && m.Name != self.Name && score(m) > score(self) {
			n++
		}
	}
	return n
}

// address is a service with a listening address.
type address interface{ Addr() string }

func (n *Node) addr(service string) string {
	s, err := supervisor.Find[address](n.supervisor, service)
	if err != nil {
		return ""
	}
	return s.Addr()
}

// Addr returns the address for callers and operators.
func (n *Node) Addr() string { return n.addr("front") }

// PeerAddr returns the address for other nodes.
func (n *Node) PeerAddr() string { return n.addr("peerlink") }

// Run works until ctx ends and every accepted request has its answer.
func (n *Node) Run(ctx context.Context) error {
	defer n.meter.Close()
	return errors.Trace(n.supervisor.Run(ctx))
}
