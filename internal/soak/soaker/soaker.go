package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/operator"
)

// Settings configures a soak test.
type Settings struct {
	Program string // path of the node's executable
	// Dir is the directory for the settings and logs of the nodes.
	Dir string
	// Network is the first three bytes of the nodes' loopback addresses, such as
	// 127.20.1.
	Network       string
	Seed          uint64
	Length        time.Duration
	Nodes         int
	PlainBackEnds int // number of upstreams of each of the two plain services
	Engines       int
	Callers       int
}

// Time limits in the settings of the nodes. They are the documented figures.
const (
	revokeBound   = 5 * time.Second
	gracePeriod   = 8 * time.Second
	handoverGap   = 3 * time.Second
	versionCutoff = 12 * time.Second
	entryTTL      = 5 * time.Second
)

// Bounds returns the time limits that the history is checked against.
func Bounds() checker.Bounds {
	return checker.Bounds{
		Settle: 3 * time.Second, Revoke: revokeBound, Config: 2 * time.Second, Regress: 250 * time.Millisecond,
		Drain: 2 * time.Second, HandoverGap: handoverGap, AfterFreeze: 300 * time.Millisecond, Recover: 12 * time.Second, Grace: gracePeriod,
		Slack: 200 * time.Millisecond,
	}
}

const (
	// pollInterval is the time between two checks for a stall of the machine or for
	// the readiness of a node.
	pollInterval = 20 * time.Millisecond
	// stallThreshold is the time between two such checks from which on the machine
	// counts as stalled. That is a disturbance of all nodes, since they get no
	// processor time either.
	stallThreshold = 100 * time.Millisecond
	// startTimeout is the time in which all nodes must become ready.
	startTimeout = 10 * time.Second
	// finalWait is the time after the traffic in which upstreams may still send their
	// last responses and receive late requests.
	finalWait = 2 * time.Second
	// leaseTime is how long a lease of a node's registration lasts, and some time to mend.
	leaseTime = 16 * time.Second
)

// Soaker runs one soak test.
type Soaker struct {
	settings   Settings
	clk        clock.Clock
	log        logrus.FieldLogger
	store      *metastore.Store
	ops        *operator.Operator
	nodes      []*node
	endpoints  []*endpoint
	faultGroup *errgroup.Group // asynchronous parts of faults
	poison     atomic.Pointer[checker.Poison]
	// largeBodies is nil while all bodies are small.
	largeBodies atomic.Pointer[planner.LargeBodies]

	mu               sync.Mutex
	history          checker.History
	runs             map[runKey]int // index in history.Runs
	problems         []string       // violations that concern no single request
	version          uint64         // of the configuration
	declared         declared
	weightsVersion   int
	routeMoved       bool
	wallChanged      [KeyCount]bool // by workspace
	removed          [KeyCount]bool // workspaces that aren't in the configuration any more
	upstreamsStarted int            // number of upstream IDs assigned so far
	// lateUntil is when the last late write has been executed; zero if there was none.
	lateUntil time.Time
}

type runKey struct{ id, upstream string }

// New returns a Soaker with an empty store.
func New(s Settings, clk clock.Clock, log logrus.FieldLogger) *Soaker {
	store := metastore.New(clk)
	return &Soaker{
		settings: s, clk: clk, log: log, store: store, ops: operator.New(store), runs: map[runKey]int{}, weightsVersion: 1, declared: newDeclared(),
		history: checker.History{RevokedAt: map[string]time.Time{}, DrainedAt: map[string]time.Time{}, MovingPrefix: prefixMoving},
	}
}

// Run runs the fleet under load, injects the planned faults, and returns the
// recorded history and the problems that concern no single request.
func (s *Soaker) Run(ctx context.Context, plan []planner.Step) (*checker.History, []string, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	background, ctx := errgroup.WithContext(ctx)
	defer func() { cancel(); _ = background.Wait() }() // its error cancels ctx and is returned below as the cause
	defer s.killAll()
	s.declareLimit(plan)
	if err := s.startFleet(ctx, background); err != nil {
		return nil, nil, err
	}
	if err := s.waitReady(ctx); err != nil {
		return nil, nil, err
	}
	startedAt := s.clk.Now()
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	callers, _ := errgroup.WithContext(trafficCtx)
	for i := range 2 * s.settings.Callers { // the second half requests long streams
		rnd := rand.New(rand.NewPCG(s.settings.Seed, uint64(i)))
		callers.Go(func() error { s.runCaller(trafficCtx, i, rnd); return nil })
	}
	s.faultGroup, _ = errgroup.WithContext(ctx)
	for _, step := range plan {
		if !clock.Sleep(ctx, s.clk, startedAt.Add(step.At).Sub(s.clk.Now())) {
			break
		}
		s.log.WithFields(logrus.Fields{"event": "fault", "atMs": step.At.Milliseconds(), "fault": fmt.Sprintf("%T%+v", step.Fault, step.Fault)}).Info("injecting fault")
		s.inject(ctx, step.Fault)
	}
	_ = s.faultGroup.Wait() // the goroutines return no errors
	s.mu.Lock()
	s.history.FaultsEndedAt = s.clk.Now()
	s.mu.Unlock()
	clock.Sleep(ctx, s.clk, startedAt.Add(s.settings.Length).Sub(s.clk.Now()))
	s.awaitRecovery(ctx)
	s.checkDirectories(ctx)
	stopTraffic()
	_ = callers.Wait() // the goroutines return no errors
	clock.Sleep(ctx, s.clk, finalWait)
	for _, n := range s.nodes {
		s.checkRunning(n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.EndedAt = s.clk.Now()
	h := s.history
	return &h, s.problems, errors.Trace(context.Cause(ctx))
}

const (
	// recoveryWindow is the period over which the share of served requests is computed.
	recoveryWindow = 2 * time.Second
	// recoveredShare is the share of served requests from which on the fleet counts as
	// recovered. The soak then ends before the time to recover has passed.
	recoveredShare = 0.9
)

// awaitRecovery lets the traffic go on until the fleet has recovered, or until the
// time to recover and one more window have passed, so that the history shows how
// many requests are served then.
func (s *Soaker) awaitRecovery(ctx context.Context) {
	until := s.clk.Now().Add(Bounds().Recover + recoveryWindow)
	for s.clk.Now().Before(until) && clock.Sleep(ctx, s.clk, recoveryWindow) && s.servedShare(recoveryWindow) < recoveredShare {
	}
}

// servedShare returns the share of served requests among those sent within the last
// window. Requests with a revoked key don't count.
func (s *Soaker) servedShare(window time.Duration) float64 {
	since := s.clk.Now().Add(-window)
	s.mu.Lock()
	defer s.mu.Unlock()
	sent, served := 0, 0
	for i := range s.history.Requests {
		r := &s.history.Requests[i]
		if _, revoked := s.history.RevokedAt[r.Key]; r.SentAt.Before(since) || revoked {
			continue
		}
		sent++
		if r.Status == http.StatusOK && r.Complete {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// startFleet writes the configuration and starts the stand-ins and the nodes.
func (s *Soaker) startFleet(ctx context.Context, g *errgroup.Group) error {
	if err := s.configure(); err != nil {
		return err
	}
	if err := s.ops.Announce(model, s.weightsVersion); err != nil {
		return errors.Trace(err)
	}
	for i := range 2*s.settings.PlainBackEnds + s.settings.Engines {
		ep, err := s.newEndpoint(ctx, g, i)
		if err != nil {
			return err
		}
		s.endpoints = append(s.endpoints, ep)
	}
	g.Go(func() error { s.sendHeartbeats(ctx); return nil })
	g.Go(func() error { s.watchStalls(ctx); return nil })
	for i := range s.settings.Nodes {
		n, err := s.newNode(ctx, g, i, filepath.Join(s.settings.Dir, fmt.Sprint("node-", i)))
		if err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all nodes are ready.
func (s *Soaker) waitReady(ctx context.Context) error {
	until := s.clk.Now().Add(startTimeout)
	for _, n := range s.nodes {
		for !n.ready() {
			if s.clk.Now().After(until) || !clock.Sleep(ctx, s.clk, pollInterval) {
				return errors.Timeoutf("waiting for %s to become ready (log: %s.log)", n.name, n.filePrefix)
			}
		}
	}
	return nil
}

// watchStalls records when this process gets no processor time.
func (s *Soaker) watchStalls(ctx context.Context) {
	last := s.clk.Now()
	for clock.Sleep(ctx, s.clk, pollInterval) {
		now := s.clk.Now()
		if now.Sub(last) > stallThreshold {
			s.addDisturbance(checker.Disturbance{Node: -1, From: last, To: now})
			s.log.WithFields(logrus.Fields{"event": "stall", "ms": now.Sub(last).Milliseconds()}).Warn("machine stalled; no processor time for the soak")
		}
		last = now
	}
}

func (s *Soaker) addDisturbance(d checker.Disturbance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances = append(s.history.Disturbances, d)
}

// beginDisturbance records a disturbance whose end isn't known yet, and returns its
// index for endDisturbance.
func (s *Soaker) beginDisturbance(d checker.Disturbance) int {
	d.From = s.clk.Now()
	d.To = d.From.Add(time.Hour)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances = append(s.history.Disturbances, d)
	return len(s.history.Disturbances) - 1
}

// endDisturbance sets the end of a disturbance to the current time.
func (s *Soaker) endDisturbance(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances[i].To = s.clk.Now()
}

// undisturbedSince reports whether a node had no disturbance other than a graceful
// shutdown since a time, less the settle time.
func (s *Soaker) undisturbedSince(node int, from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.history.Disturbances {
		if (d.Node == node || d.Node < 0) && !d.GracefulShutdown && d.To.After(from.Add(-Bounds().Settle)) {
			return false
		}
	}
	return true
}

// addProblem records a violation that concerns no single request.
func (s *Soaker) addProblem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}
