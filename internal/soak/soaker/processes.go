package soaker

import (
	"context"
	"syscall"
	"time"

	"github.com/auburnnotch/auburnnotch/internal/soak/checker"
	"github.com/auburnnotch/auburnnotch/pkg/clock"
	"github.com/auburnnotch/auburnnotch/platform/standin/client"
)

// graceMargin is the time after the grace period by which the process must have exited.
const graceMargin = time.Second

// restart starts a node again after a delay.
func (s *Soaker) restart(ctx context.Context, n *node, delay time.Duration) {
	clock.Sleep(ctx, s.clk, delay)
	if ctx.Err() != nil {
		return
	}
	if err := n.start(); err != nil {
		s.addProblem("failed to restart %s: %v", n.name, err)
	}
}

// stopNode shuts a node down by SIGTERM, as operators do, and restarts it after a
// delay. A node that exceeds its grace period is killed. If another fault is
// restarting the node already, stopNode does nothing.
func (s *Soaker) stopNode(ctx context.Context, n *node, delay time.Duration) {
	if !n.restarting.CompareAndSwap(false, true) {
		return
	}
	defer n.restarting.Store(false)
	s.checkRunning(n)
	from := s.clk.Now()
	incarnation := int(n.incarnation.Load())
	s.signal(n, syscall.SIGTERM)
	disturbance := s.beginDisturbance(checker.Disturbance{Node: n.index, GracefulShutdown: true})
	select {
	case <-ctx.Done():
		return
	case <-n.process.Done():
	case <-s.clk.After(gracePeriod + graceMargin):
		if s.undisturbedSince(n.index, from) {
			s.addProblem("grace: %s is still running %v after SIGTERM", n.name, gracePeriod+graceMargin)
		}
		s.signal(n, syscall.SIGKILL)
		<-n.process.Done()
	}
	s.mu.Lock()
	s.history.Shutdowns = append(s.history.Shutdowns, checker.Shutdown{Node: n.index, Incarnation: incarnation, From: from, To: s.clk.Now()})
	s.mu.Unlock()
	s.restart(ctx, n, delay)
	s.endDisturbance(disturbance)
}

// checkRunning records a node that no fault has stopped and that doesn't run as a problem.
func (s *Soaker) checkRunning(n *node) {
	if !n.process.Running() {
		s.addProblem("exit: %s ended by itself", n.name)
	}
}

func (s *Soaker) signal(n *node, sig syscall.Signal) {
	if err := n.process.Signal(sig); err != nil {
		s.addProblem("failed to signal %s: %v", n.name, err)
	}
}

// reload sends SIGHUP to a node that listens. Before that, its process may not have come to
// handle signals yet.
func (s *Soaker) reload(n *node) {
	if c, err := client.Dial(n.callerAddr(), dialTimeout); err == nil {
		c.Close()
		s.signal(n, syscall.SIGHUP)
	}
}

// killNode kills a node by SIGKILL and restarts it.
func (s *Soaker) killNode(ctx context.Context, n *node, delay time.Duration) {
	if !n.restarting.CompareAndSwap(false, true) {
		// Another fault is stopping or restarting the node. Killing the process ends
		// its shutdown.
		from := s.clk.Now() // connections end before the signal call returns
		s.signal(n, syscall.SIGKILL)
		s.addDisturbance(checker.Disturbance{Node: n.index, From: from, To: s.clk.Now()})
		return
	}
	defer n.restarting.Store(false)
	s.checkRunning(n)
	disturbance := s.beginDisturbance(checker.Disturbance{Node: n.index})
	s.signal(n, syscall.SIGKILL)
	<-n.process.Done()
	s.restart(ctx, n, delay)
	s.endDisturbance(disturbance)
}

// freezeNode suspends a node's process for a duration.
func (s *Soaker) freezeNode(ctx context.Context, n *node, d time.Duration) {
	disturbance := s.beginDisturbance(checker.Disturbance{Node: n.index})
	s.signal(n, syscall.SIGSTOP)
	clock.Sleep(ctx, s.clk, d)
	s.signal(n, syscall.SIGCONT)
	s.endDisturbance(disturbance)
}
