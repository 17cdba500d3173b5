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

// Ports of a node. Each node has its own loopback address, so that no outgoing
// connection can take one of its ports while the node restarts.
const (
	portCallers   = 7101
	portReady     = 7102
	portDirectory = 7103
	portPeers     = 7104
	// firstHostByte is the last byte of the first node's IP address.
	firstHostByte = 10
)

// node is a node process with its own proxied connection to the store.
type node struct {
	index       int
	name        string
	filePrefix  string // path of its settings and log files, without extension
	ip          string
	storeProxy  *proxier.Proxier
	process     *starter.Starter
	incarnation atomic.Int64
	// restarting is set while a fault stops and restarts the process.
	restarting atomic.Bool
}

// newNode writes a node's settings file and prepares its process.
func (s *Soaker) newNode(ctx context.Context, g *errgroup.Group, i int, filePrefix string) (*node, error) {
	n := &node{index: i, name: fmt.Sprint("node-", i), filePrefix: filePrefix, ip: fmt.Sprint(s.settings.Network, ".", firstHostByte+i)}
	addr, err := serve(ctx, g, s.store.Handler(n.name))
	if err != nil {
		return nil, err
	}
	if n.storeProxy, err = proxier.New(s.clk, "127.0.0.1:0", addr); err != nil {
		return nil, errors.Trace(err)
	}
	g.Go(func() error { return n.storeProxy.Run(ctx) })
	listenAddr := func(port int) string { return fmt.Sprint(n.ip, ":", port) }
	settings := config.EntrySettings{
		Name: n.name, DataCentre: dataCentre, CallerListen: listenAddr(portCallers), ReadyListen: listenAddr(portReady),
		DirectoryListen: listenAddr(portDirectory), PeerListen: listenAddr(portPeers), Store: n.storeProxy.Addr(), MemoryMB: 128,
		RevokeMS: float64(revokeBound.Milliseconds()), GraceSeconds: gracePeriod.Seconds(), OrderGapMS: float64(handoverGap.Milliseconds()),
		WeightsMS: float64(versionCutoff.Milliseconds()), EntrySeconds: entryTTL.Seconds(), RetryAllowance: 50,
		LearnEngineSpeeds: true, HedgeShare: s.hedgeShare(),
	}
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := os.WriteFile(filePrefix+".json", b, 0o600); err != nil {
		return nil, errors.Annotate(err, "write node settings")
	}
	n.process = starter.New(s.settings.Program, filePrefix+".json", filePrefix+".log")
	return n, nil
}

// hedgeShare returns the share of hedged requests: seeds that end in 9 have them.
func (s *Soaker) hedgeShare() float64 {
	const hedgingSeed, share = 9, 0.1
	if s.settings.Seed%10 == hedgingSeed {
		return share
	}
	return 0
}

func (n *node) start() error {
	incarnation, err := n.process.Start()
	n.incarnation.Store(int64(incarnation))
	return errors.Trace(err)
}

func (n *node) ready() bool {
	return client.Ready(fmt.Sprint(n.ip, ":", portReady), time.Second)
}

func (n *node) callerAddr() string { return fmt.Sprint(n.ip, ":", portCallers) }

// killAll kills all node processes.
func (s *Soaker) killAll() {
	for _, n := range s.nodes {
		if err := n.process.Signal(syscall.SIGKILL); err != nil {
			s.log.WithError(err).WithField("event", "killFailed").Error("failed to kill node; its process may still be running")
			continue
		}
		<-n.process.Done()
	}
}
