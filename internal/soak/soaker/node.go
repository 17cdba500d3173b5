package soaker

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/proxier"
	"github.com/auburnnotch/auburnnotch/internal/soak/starter"
	"github.com/auburnnotch/auburnnotch/pkg/config"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
)

// The ports of a node, each at its own IP number, so that no outgoing
// connection takes one between two lives.
const (
	portCallers   = 7101
	portReady     = 7102
	portDirectory = 7103
	portPeers     = 7104
	// firstHost is the last byte of the first node's IP number.
	firstHost = 10
)

// node is a process with its own way to the store.
type node struct {
	index   int
	name    string
	path    string // of its files, without suffix
	ip      string
	store   *proxier.Proxier
	process *starter.Starter
	life    atomic.Int64
	// busy is set while a fault ends and starts the process.
	busy atomic.Bool
}

func (s *Soaker) newNode(ctx context.Context, g *errgroup.Group, i int, path string) (*node, error) {
	n := &node{index: i, name: fmt.Sprint("node-", i), path: path, ip: fmt.Sprint(s.set.Network, ".", firstHost+i)}
	addr, err := serve(ctx, g, s.store.Handler(n.name))
	if err != nil {
		return nil, err
	}
	if n.store, err = proxier.New(s.clk, "127.0.0.1:0", addr); err != nil {
		return nil, errors.Trace(err)
	}
	g.Go(func() error { return n.store.Run(ctx) })
	at := func(port int) string { return fmt.Sprint(n.ip, ":", port) }
	settings := config.EntrySettings{
		Name: n.name, DataCentre: dataCentre, CallerListen: at(portCallers), ReadyListen: at(portReady),
		DirectoryListen: at(portDirectory), PeerListen: at(portPeers), Store: n.store.Addr(), MemoryMB: 128,
		RevokeMS: int(revoke.Milliseconds()), GraceSeconds: grace.Seconds(), OrderGapMS: int(orderGap.Milliseconds()),
		WeightsMS: int(weights.Milliseconds()), EntrySeconds: entryKeep.Seconds(), RetryAllowance: 50,
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.WriteFile(path+".json", b, 0o600); err != nil {
		return nil, errors.Annotate(err, "settings of a node")
	}
	n.process = starter.New(s.set.Program, path+".json", path+".log")
	return n, nil
}

func (n *node) start() error {
	life, err := n.process.Start()
	n.life.Store(int64(life))
	return errors.Trace(err)
}

func (n *node) ready() bool {
	return client.Ready(fmt.Sprint(n.ip, ":", portReady), time.Second)
}

func (n *node) callers() string { return fmt.Sprint(n.ip, ":", portCallers) }

// kill ends all processes that the soak has started.
func (s *Soaker) kill() {
	for _, n := range s.nodes {
		if err := n.process.Signal(syscall.SIGKILL); err != nil {
			s.log.WithError(err).WithField("event", "killFailed").Error("a node may be left running")
			continue
		}
		<-n.process.Done()
	}
}
