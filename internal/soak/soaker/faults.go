package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

const (
	// directoryTries is how often a directory that lacks a node is asked again.
	directoryTries = 5
	// drainTime is how long a draining upstream keeps running.
	drainTime = 4 * time.Second
	// poisonRestartTime is how long an upstream is down after a crash by poison.
	poisonRestartTime = 2 * time.Second
)

// errorRates are the probabilities of each fault of an upstream during
// planner.UpstreamErrs.
var errorRates = upstream.Faults{DropResponse: 0.1, CutResponse: 0.1, ServerError: 0.1, OmitStamp: 0.05}

// inject injects a fault. The parts that take time run in the background.
func (s *Soaker) inject(ctx context.Context, f planner.Fault) {
	switch f := f.(type) {
	case planner.Stop:
		s.runAsync(func() { s.stopNode(ctx, s.nodes[f.Node], f.Rest) })
	case planner.StopAll:
		s.runAsync(func() {
			for _, n := range s.nodes {
				s.stopNode(ctx, n, 0)
				clock.Sleep(ctx, s.clk, f.Gap)
			}
		})
	case planner.Kill:
		for _, i := range f.Nodes {
			s.runAsync(func() { s.killNode(ctx, s.nodes[i], f.Rest) })
		}
	case planner.Freeze:
		s.runAsync(func() { s.freezeNode(ctx, s.nodes[f.Node], f.For) })
	case planner.StoreDown:
		s.injectStoreFault(ctx, f.Scope, metastore.Faults{Down: true}, f.For)
	case planner.StoreSlow:
		s.injectStoreFault(ctx, planner.All, metastore.Faults{Delay: f.Delay}, f.For)
	case planner.StoreLoses:
		s.injectStoreFault(ctx, f.Scope, metastore.Faults{Losses: metastore.Losses{Loses: func(int) bool { return true }}}, f.For)
	case planner.StoreLate:
		s.injectLateWrites(ctx, f)
	case planner.StoreRefuses:
		s.injectStoreFault(ctx, f.Scope, metastore.Faults{ErrorStatus: f.Status}, f.For)
	case planner.StoreForgets:
		now := s.clk.Now()
		s.store.Compact()
		if f.Leases {
			s.store.ExpireLeases()
		}
		s.addDisturbance(checker.Disturbance{Node: -1, From: now, To: now, StoreOnly: true})
	case planner.StoreRestored:
		s.runAsync(func() { s.restoreStore(ctx, f) })
	case planner.Link:
		s.runAsync(func() { s.injectLinkFault(ctx, f) })
	case planner.UpstreamCrash:
		ep := s.endpoints[f.Upstream]
		s.runAsync(func() { s.crashUpstream(ctx, ep, ep.current.Load(), f.For, "") })
	case planner.UpstreamErrs:
		s.injectUpstreamFault(ctx, f.Upstream, errorRates, f.For)
	case planner.UpstreamRepeats:
		s.injectUpstreamFault(ctx, f.Upstream, upstream.Faults{RepeatResponse: 0.3}, f.For)
	case planner.UpstreamStalls:
		s.injectUpstreamFault(ctx, f.Upstream, upstream.Faults{StallStream: 0.3}, f.For)
	case planner.UpstreamLeaves:
		s.runAsync(func() { s.drainUpstream(ctx, s.endpoints[f.Upstream]) })
	case planner.UpstreamTurnsAway:
		s.injectUpstreamFault(ctx, f.Upstream, upstream.Faults{TurnAway: f.Pause}, f.For)
	case planner.UpstreamSaysLeaving:
		s.runAsync(func() {
			ep := s.endpoints[f.Upstream]
			ep.current.Load().server.Leave()
			if clock.Sleep(ctx, s.clk, f.Notice) {
				s.drainUpstream(ctx, ep)
			}
		})
	case planner.CallersLeave:
		s.runAsync(func() { s.leaveWhileFrozen(ctx, f) })
	case planner.UpstreamNamesRate:
		s.runAsync(func() {
			server := s.endpoints[f.Upstream].current.Load().server
			server.NameRate(f.Rate)
			clock.Sleep(ctx, s.clk, f.For)
			server.NameRate(0)
		})
	case planner.UpstreamPauses:
		proxy := s.endpoints[f.Upstream].proxy
		proxy.SetPaused(true)
		s.runAsync(func() {
			clock.Sleep(ctx, s.clk, f.For)
			proxy.SetPaused(false)
		})
	case planner.UpstreamUnframed:
		s.injectUpstreamFault(ctx, f.Upstream, upstream.Faults{Unframed: true, CutResponse: f.Broken}, f.For)
	case planner.UpstreamCopiesRefusals:
		s.injectUpstreamFault(ctx, f.Upstream, upstream.Faults{Refuse: 0.3, RepeatResponse: 0.3}, f.For)
	case planner.ResumptionsFail:
		for i := range s.endpoints {
			s.injectUpstreamFault(ctx, i, upstream.Faults{CutResponse: 0.1, FailResumption: 0.5}, f.For)
		}
	case planner.OddRegistration:
		s.ops.RegisterOdd(fmt.Sprint("odd-", f.Shape), engines, f.Shape)
	case planner.Poison:
		s.runAsync(func() { s.injectPoison(ctx, checker.Poison{Part: f.Part}, f.Route, f.For) })
	case planner.LonePoison:
		s.runAsync(func() { s.injectPoison(ctx, checker.Poison{Alone: true}, f.Route, f.For) })
	case planner.WallChanged:
		s.mu.Lock()
		s.wallChanged[f.Workspace] = !s.wallChanged[f.Workspace]
		s.mu.Unlock()
		s.reconfigure()
	case planner.WallRemoved:
		s.runAsync(func() { s.removeIsolated(ctx, f) })
	case planner.Reload:
		s.reload(s.nodes[f.Node])
	case planner.LimitsChanged, planner.TimeLimitsChanged, planner.WorkspaceChanged, planner.RoutesAdded:
		s.mu.Lock()
		s.declared.apply(f, s.clk.Now())
		s.mu.Unlock()
		s.reconfigure()
	case planner.LargeBodies:
		s.largeBodies.Store(&f)
		s.runAsync(func() {
			clock.Sleep(ctx, s.clk, f.For)
			s.largeBodies.Store(nil)
		})
	case planner.Surge:
		s.runAsync(func() { s.surge(ctx, f) })
	case planner.KeyTaken:
		s.revokeKey(key(f.Key))
	case planner.RouteMoved:
		s.mu.Lock()
		s.routeMoved = !s.routeMoved
		s.mu.Unlock()
		s.reconfigure()
	case planner.WeightsNamed:
		s.mu.Lock()
		s.weightsVersion++
		v := s.weightsVersion
		s.mu.Unlock()
		if err := s.ops.Announce(model, v); err != nil {
			s.addProblem("failed to announce weights: %v", err)
		}
	}
}

// injectUpstreamFault gives an upstream faults, and ends them in the background.
func (s *Soaker) injectUpstreamFault(ctx context.Context, i int, f upstream.Faults, d time.Duration) {
	inc := s.endpoints[i].current.Load()
	inc.server.SetFaults(f)
	s.runAsync(func() {
		clock.Sleep(ctx, s.clk, d)
		inc.server.SetFaults(upstream.Faults{})
	})
}

// runAsync runs a part of a fault in the background. Run waits for it.
func (s *Soaker) runAsync(f func()) {
	s.faultGroup.Go(func() error { f(); return nil })
}

// reconfigure writes a new configuration and records a failure as a problem.
func (s *Soaker) reconfigure() {
	if err := s.configure(); err != nil {
		s.addProblem("failed to write configuration: %v", err)
	}
}

// revokeKey revokes a key, unless it or half of the keys are revoked already.
func (s *Soaker) revokeKey(key string) {
	s.mu.Lock()
	_, revoked := s.history.RevokedAt[key]
	limitReached := len(s.history.RevokedAt) >= KeyCount/2
	if !revoked && !limitReached {
		s.history.RevokedAt[key] = s.clk.Now()
	}
	s.mu.Unlock()
	if revoked || limitReached {
		return
	}
	s.reconfigure()
	s.mu.Lock()
	s.history.RevokedAt[key] = s.clk.Now() // the bound applies from the store's response on
	s.mu.Unlock()
}

// unseenMargin covers the two writes of a workspace that no node sees isolated.
const unseenMargin = 200 * time.Millisecond

// removeIsolated isolates a workspace and removes it from the configuration, as f says. Its key is
// revoked with it. If half of the keys are revoked already, the workspace stays.
func (s *Soaker) removeIsolated(ctx context.Context, f planner.WallRemoved) {
	i := f.Workspace
	if f.Unseen {
		s.injectStoreFault(ctx, planner.All, metastore.Faults{Down: true}, f.After+unseenMargin)
	}
	s.mu.Lock()
	s.wallChanged[i] = i%2 != 0 // isolated
	s.mu.Unlock()
	s.reconfigure()
	isolated := s.clk.Now()
	switch {
	case f.After == 0 && !s.awaitInForce(ctx, isolated), f.After > 0 && !clock.Sleep(ctx, s.clk, f.After):
		return
	}
	for _, n := range f.Killed {
		s.runAsync(func() { s.killNode(ctx, s.nodes[n], 0) })
	}
	s.revokeKey(key(i))
	s.mu.Lock()
	_, s.removed[i] = s.history.RevokedAt[key(i)]
	removed := s.removed[i]
	s.mu.Unlock()
	s.reconfigure()
	s.log.WithFields(logrus.Fields{"event": "workspaceRemoved", "workspace": i, "removed": removed, "isolatedMs": s.clk.Now().Sub(isolated).Milliseconds()}).
		Info("isolated workspace removed from the configuration")
}

// awaitInForce waits until every node that can read the store has had time to take a configuration
// written at a time. It returns false if ctx ends first.
func (s *Soaker) awaitInForce(ctx context.Context, written time.Time) bool {
	for !s.storeUndisturbedSince(s.clk.Now().Add(-Bounds().Settle)) || s.clk.Now().Sub(written) < Bounds().Settle {
		if !clock.Sleep(ctx, s.clk, pollInterval) {
			return false
		}
	}
	return true
}

// storeUndisturbedSince reports whether all nodes could use the store since a time.
func (s *Soaker) storeUndisturbedSince(from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !slices.ContainsFunc(s.history.Disturbances, func(d checker.Disturbance) bool {
		return (d.StoreOnly || d.Node < 0) && d.To.After(from)
	})
}

// injectStoreFault makes the store fail for one node or all nodes, and ends the fault
// in the background.
func (s *Soaker) injectStoreFault(ctx context.Context, scope planner.Scope, f metastore.Faults, d time.Duration) {
	name := ""
	if scope != planner.All {
		name = s.nodes[scope].name
	}
	disturbance := s.beginDisturbance(checker.Disturbance{Node: int(scope), StoreOnly: true})
	s.store.SetFaults(name, f)
	s.runAsync(func() {
		clock.Sleep(ctx, s.clk, d)
		s.store.SetFaults(name, metastore.Faults{})
		s.endDisturbance(disturbance)
	})
}

// injectLateWrites makes the store lose responses and execute these writes late. The
// disturbance lasts until the last one is done.
func (s *Soaker) injectLateWrites(ctx context.Context, f planner.StoreLate) {
	loses := func(n int) bool { return rand.New(rand.NewPCG(f.Seed, uint64(n))).Float64() < f.Share }
	disturbance := s.beginDisturbance(checker.Disturbance{Node: int(planner.All), StoreOnly: true})
	s.store.SetFaults("", metastore.Faults{Losses: metastore.Losses{Loses: loses, Late: f.Late}})
	s.mu.Lock()
	s.lateUntil = s.clk.Now().Add(f.For + f.Late)
	s.mu.Unlock()
	s.runAsync(func() {
		clock.Sleep(ctx, s.clk, f.For)
		s.store.SetFaults("", metastore.Faults{})
		clock.Sleep(ctx, s.clk, f.Late)
		s.endDisturbance(disturbance)
	})
}

// lostWrites is the number of writes of other users of the store that it loses.
const lostWrites = 1000

// restoreStore makes the store come back from an older copy. The disturbance lasts until what it
// lost is written again.
func (s *Soaker) restoreStore(ctx context.Context, f planner.StoreRestored) {
	backup := s.store.Backup()
	s.store.WriteElsewhere(lostWrites)
	if !clock.Sleep(ctx, s.clk, f.Age) {
		return
	}
	disturbance := s.beginDisturbance(checker.Disturbance{Node: int(planner.All), StoreOnly: true})
	defer s.endDisturbance(disturbance)
	s.store.SetFaults("", metastore.Faults{Down: true})
	clock.Sleep(ctx, s.clk, f.Away)
	s.store.Restore(backup)
	s.store.SetFaults("", metastore.Faults{})
	clock.Sleep(ctx, s.clk, f.Silence)
	s.store.RepeatWrites()
	s.revokeKey(key(f.Key))
	s.log.WithFields(logrus.Fields{"event": "storeRestored", "ageMs": f.Age.Milliseconds()}).Info("store came back from an older copy")
}

// checkDirectories checks that each node's directory names all nodes once late writes have
// had their effect, which is when the leases that were granted before have ended.
func (s *Soaker) checkDirectories(ctx context.Context) {
	s.mu.Lock()
	until := s.lateUntil
	s.mu.Unlock()
	if until.IsZero() {
		return
	}
	clock.Sleep(ctx, s.clk, until.Add(leaseTime).Sub(s.clk.Now()))
	for _, n := range s.nodes {
		missing := s.missingFrom(n)
		for range directoryTries { // the machine may stall
			if len(missing) > 0 && clock.Sleep(ctx, s.clk, dialTimeout) {
				missing = s.missingFrom(n)
			}
		}
		if len(missing) > 0 {
			s.addProblem("the directory of %s doesn't name %v, %v after the last late write", n.name, missing, leaseTime)
		}
	}
}

// missingFrom returns the nodes that a node's directory doesn't name.
func (s *Soaker) missingFrom(n *node) []string {
	addresses, _, err := client.Resolve(fmt.Sprint(n.ip, ":", portDirectory), dataCentre, dialTimeout)
	var out []string
	for _, other := range s.nodes {
		if err != nil || !slices.Contains(addresses, other.callerAddr()) {
			out = append(out, other.name)
		}
	}
	return out
}

// injectLinkFault injects a fault into a proxy for a duration.
func (s *Soaker) injectLinkFault(ctx context.Context, f planner.Link) {
	proxy, node := s.endpoints[f.Index].proxy, -1
	if f.Store {
		proxy, node = s.nodes[f.Index].storeProxy, f.Index
	}
	disturbance := s.beginDisturbance(checker.Disturbance{Node: node, StoreOnly: f.Store, UpstreamOnly: !f.Store})
	proxy.SetFault(f.Trouble)
	clock.Sleep(ctx, s.clk, f.For)
	proxy.SetFault("")
	s.endDisturbance(disturbance)
}

// crashUpstream makes an upstream unreachable at once and, after a duration, starts
// a new incarnation with the same ID. The ID of a poison request that causes the crash
// is recorded.
func (s *Soaker) crashUpstream(ctx context.Context, ep *endpoint, inc *incarnation, d time.Duration, poisonID string) {
	s.mu.Lock()
	unavailable := inc.stopped || inc.registration.Draining
	inc.stopped = true
	if !unavailable {
		s.markAborted(inc.registration.ID)
	}
	if !unavailable && poisonID != "" {
		s.history.Crashes = append(s.history.Crashes, checker.Crash{At: s.clk.Now(), RequestID: poisonID})
	}
	s.mu.Unlock()
	if unavailable {
		return
	}
	ep.proxy.SetFault(planner.Unreached)
	clock.Sleep(ctx, s.clk, d)
	s.startIncarnation(ctx, ep, inc.registration.ID, inc.server.Version())
	ep.proxy.SetFault("")
}

// markAborted marks the runs at an upstream that are in progress, or whose response
// may not have reached the node yet, as aborted by the upstream. The caller must hold
// s.mu.
func (s *Soaker) markAborted(id string) {
	now := s.clk.Now()
	for i := range s.history.Runs {
		if r := &s.history.Runs[i]; r.Upstream == id && (!r.Ended || now.Sub(r.EndedAt) < Bounds().Slack) {
			r.Aborted = true
		}
	}
}

// injectPoison lets the callers send poison requests for a duration, and waits until
// the upstreams have restarted.
func (s *Soaker) injectPoison(ctx context.Context, p checker.Poison, route int, d time.Duration) {
	s.mu.Lock()
	p.Name, p.Route = fmt.Sprint(upstream.Poison, len(s.history.Poisons)), routes(false)[route].Prefix
	s.history.Poisons = append(s.history.Poisons, &p)
	s.mu.Unlock()
	s.poison.Store(&p)
	clock.Sleep(ctx, s.clk, d)
	s.poison.Store(nil)
	clock.Sleep(ctx, s.clk, poisonRestartTime)
}

// drainUpstream drains an upstream, then starts another one of the same service at
// its address.
func (s *Soaker) drainUpstream(ctx context.Context, ep *endpoint) {
	inc := ep.current.Load()
	s.mu.Lock()
	unavailable := inc.stopped || inc.registration.Draining
	inc.registration.Draining = true
	s.mu.Unlock()
	if unavailable {
		return
	}
	s.register(inc)
	s.mu.Lock()
	s.history.DrainedAt[inc.registration.ID] = s.clk.Now()
	s.mu.Unlock()
	clock.Sleep(ctx, s.clk, drainTime)
	s.mu.Lock()
	inc.stopped = true
	s.mu.Unlock()
	s.ops.Remove(inc.registration.ID)
	s.startUpstream(ctx, ep)
}
