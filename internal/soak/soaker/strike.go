package soaker

import (
	"context"
	"syscall"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/judge"
	"github.com/auburnnotch/auburnnotch/internal/soak/planner"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/platform/standin/metastore"
	"github.com/auburnnotch/auburnnotch/platform/standin/upstream"
)

const (
	// graceSlack is the time after the grace by which a process must be gone.
	graceSlack = time.Second
	// leaving is how long a leaving upstream stays.
	leaving = 4 * time.Second
)

// errs are the faults of an upstream that errs.
var errs = upstream.Faults{DropResponse: 0.1, CutResponse: 0.1, ServerError: 0.1, OmitStamp: 0.05}

// strike lets a fault happen. What lasts goes on in the background.
func (s *Soaker) strike(ctx context.Context, f planner.Fault) {
	switch f := f.(type) {
	case planner.Stop:
		s.follow(func() { s.stop(ctx, s.nodes[f.Node], f.Rest) })
	case planner.StopAll:
		s.follow(func() {
			for _, n := range s.nodes {
				s.stop(ctx, n, 0)
				clock.Sleep(ctx, s.clk, f.Gap)
			}
		})
	case planner.Kill:
		for _, i := range f.Nodes {
			s.follow(func() { s.end(ctx, s.nodes[i], f.Rest) })
		}
	case planner.Freeze:
		s.follow(func() { s.freeze(ctx, s.nodes[f.Node], f.For) })
	case planner.StoreDown:
		s.storeFault(ctx, f.Scope, metastore.Faults{Down: true}, f.For)
	case planner.StoreSlow:
		s.storeFault(ctx, planner.All, metastore.Faults{Delay: f.Delay}, f.For)
	case planner.StoreLoses:
		s.storeFault(ctx, f.Scope, metastore.Faults{DropResponses: true}, f.For)
	case planner.StoreRefuses:
		s.storeFault(ctx, f.Scope, metastore.Faults{ErrorStatus: f.Status}, f.For)
	case planner.StoreForgets:
		now := s.clk.Now()
		s.store.Compact()
		if f.Leases {
			s.store.ExpireLeases()
		}
		s.disturb(judge.Disturbance{Node: -1, From: now, To: now, Store: true})
	case planner.Link:
		s.follow(func() { s.link(ctx, f) })
	case planner.UpstreamCrash:
		s.follow(func() { s.crash(ctx, s.slots[f.Upstream], f.For) })
	case planner.UpstreamErrs:
		l := s.slots[f.Upstream].life.Load()
		l.program.SetFaults(errs)
		s.follow(func() {
			clock.Sleep(ctx, s.clk, f.For)
			l.program.SetFaults(upstream.Faults{})
		})
	case planner.UpstreamLeaves:
		s.follow(func() { s.leave(ctx, s.slots[f.Upstream]) })
	case planner.KeyTaken:
		s.takeKey(key(f.Key))
	case planner.RouteMoved:
		s.mu.Lock()
		s.moved = !s.moved
		s.mu.Unlock()
		s.mustConfigure()
	case planner.WeightsNamed:
		s.mu.Lock()
		s.weights++
		v := s.weights
		s.mu.Unlock()
		if err := s.ops.Announce(model, v); err != nil {
			s.problem("weights aren't named: %v", err)
		}
	}
}

// follow runs what follows a fault.
func (s *Soaker) follow(f func()) {
	s.acts.Go(func() error { f(); return nil })
}

func (s *Soaker) mustConfigure() {
	if err := s.configure(); err != nil {
		s.problem("configuration isn't written: %v", err)
	}
}

func (s *Soaker) takeKey(key string) {
	s.mu.Lock()
	_, taken := s.history.Taken[key]
	all := len(s.history.Taken) >= Keys/2
	if !taken && !all {
		s.history.Taken[key] = s.clk.Now()
	}
	s.mu.Unlock()
	if taken || all {
		return
	}
	s.mustConfigure()
	s.mu.Lock()
	s.history.Taken[key] = s.clk.Now() // the store's answer counts
	s.mu.Unlock()
}

// restart starts a node again after a rest.
func (s *Soaker) restart(ctx context.Context, n *node, rest time.Duration) {
	clock.Sleep(ctx, s.clk, rest)
	if ctx.Err() != nil {
		return
	}
	if err := n.start(); err != nil {
		s.problem("%s isn't started again: %v", n.name, err)
	}
}

// stop ends a node as operators do, and starts it again.
func (s *Soaker) stop(ctx context.Context, n *node, rest time.Duration) {
	if !n.busy.CompareAndSwap(false, true) {
		return
	}
	defer n.busy.Store(false)
	from := s.clk.Now()
	life := int(n.life.Load())
	s.signal(n, syscall.SIGTERM)
	open := s.opened(judge.Disturbance{Node: n.index, Stopping: true})
	select {
	case <-ctx.Done():
		return
	case <-n.process.Ended():
	case <-s.clk.After(grace + graceSlack):
		if s.calmSince(n.index, from) {
			s.problem("grace: %s still runs %v after the signal to stop", n.name, grace+graceSlack)
		}
		s.signal(n, syscall.SIGKILL)
		<-n.process.Ended()
	}
	s.mu.Lock()
	s.history.Stops = append(s.history.Stops, judge.Stop{Node: n.index, Life: life, From: from, To: s.clk.Now()})
	s.mu.Unlock()
	s.restart(ctx, n, rest)
	s.closed(open)
}

// opened notes a disturbance whose end isn't known yet, closed its end.
func (s *Soaker) opened(d judge.Disturbance) int {
	d.From = s.clk.Now()
	d.To = d.From.Add(time.Hour)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances = append(s.history.Disturbances, d)
	return len(s.history.Disturbances) - 1
}

func (s *Soaker) closed(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.Disturbances[i].To = s.clk.Now()
}

// calmSince reports whether a node was disturbed by nothing but its own stop.
func (s *Soaker) calmSince(node int, from time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.history.Disturbances {
		if (d.Node == node || d.Node < 0) && !d.Stopping && d.To.After(from.Add(-Bounds().Contact)) {
			return false
		}
	}
	return true
}

func (s *Soaker) signal(n *node, sig syscall.Signal) {
	if err := n.process.Signal(sig); err != nil {
		s.problem("%s gets no signal: %v", n.name, err)
	}
}

// end kills a node and starts it again.
func (s *Soaker) end(ctx context.Context, n *node, rest time.Duration) {
	if !n.busy.CompareAndSwap(false, true) {
		// It is being stopped; then the kill ends that.
		s.signal(n, syscall.SIGKILL)
		now := s.clk.Now()
		s.disturb(judge.Disturbance{Node: n.index, From: now, To: now})
		return
	}
	defer n.busy.Store(false)
	open := s.opened(judge.Disturbance{Node: n.index})
	s.signal(n, syscall.SIGKILL)
	<-n.process.Ended()
	s.restart(ctx, n, rest)
	s.closed(open)
}

func (s *Soaker) freeze(ctx context.Context, n *node, d time.Duration) {
	open := s.opened(judge.Disturbance{Node: n.index})
	s.signal(n, syscall.SIGSTOP)
	clock.Sleep(ctx, s.clk, d)
	s.signal(n, syscall.SIGCONT)
	s.closed(open)
}

func (s *Soaker) storeFault(ctx context.Context, scope planner.Scope, f metastore.Faults, d time.Duration) {
	name := ""
	if scope != planner.All {
		name = s.nodes[scope].name
	}
	open := s.opened(judge.Disturbance{Node: int(scope), Store: true})
	s.store.SetFaults(name, f)
	s.follow(func() {
		clock.Sleep(ctx, s.clk, d)
		s.store.SetFaults(name, metastore.Faults{})
		s.closed(open)
	})
}

func (s *Soaker) link(ctx context.Context, f planner.Link) {
	proxy, node := s.slots[f.Index].proxy, -1
	if f.Store {
		proxy, node = s.nodes[f.Index].store, f.Index
	}
	open := s.opened(judge.Disturbance{Node: node, Store: f.Store})
	proxy.SetTrouble(f.Trouble)
	clock.Sleep(ctx, s.clk, f.For)
	proxy.SetTrouble("")
	s.closed(open)
}

// crash ends an upstream at once and lets it start again with the same name.
func (s *Soaker) crash(ctx context.Context, sl *slot, d time.Duration) {
	l := sl.life.Load()
	s.mu.Lock()
	busy := l.gone || l.up.Draining
	l.gone = true
	if !busy {
		s.breakRuns(l.up.ID)
	}
	s.mu.Unlock()
	if busy {
		return
	}
	sl.proxy.SetTrouble(planner.Unreached)
	clock.Sleep(ctx, s.clk, d)
	s.begin(sl, l.up.ID, l.program.Version())
	sl.proxy.SetTrouble("")
}

// breakRuns notes that an upstream itself ends what it runs, or what it may not
// have handed over yet. s.mu is held.
func (s *Soaker) breakRuns(id string) {
	now := s.clk.Now()
	for i := range s.history.Runs {
		if r := &s.history.Runs[i]; r.Upstream == id && (!r.Ended || now.Sub(r.EndedAt) < Bounds().Slack) {
			r.Broke = true
		}
	}
}

// leave drains an upstream; another one of the same service takes its address.
func (s *Soaker) leave(ctx context.Context, sl *slot) {
	l := sl.life.Load()
	s.mu.Lock()
	busy := l.gone || l.up.Draining
	l.up.Draining = true
	s.mu.Unlock()
	if busy {
		return
	}
	s.register(l)
	s.mu.Lock()
	s.history.Left[l.up.ID] = s.clk.Now()
	s.mu.Unlock()
	clock.Sleep(ctx, s.clk, leaving)
	s.mu.Lock()
	l.gone = true
	s.mu.Unlock()
	s.ops.Remove(l.up.ID)
	s.live(sl)
}
