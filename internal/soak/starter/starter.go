// Package starter runs the processes of nodes and sends them signals.
package starter

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Starter keeps one node's process. It is safe for concurrent use.
type Starter struct {
	program, settings, log string

	reaping sync.WaitGroup
	mu      sync.Mutex
	cmd     *exec.Cmd
	// ended is closed when the process is gone.
	ended chan struct{}
	lives int
}

// New returns a Starter of program with a settings file, whose output goes to a
// log file.
func New(program, settings, log string) *Starter {
	return &Starter{program: program, settings: settings, log: log}
}

// Start starts the process and returns the number of its life, from 1 on.
func (s *Starter) Start() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := os.OpenFile(s.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, errors.Annotate(err, "log of a node")
	}
	defer out.Close()
	cmd := exec.Command(s.program, "serve-platform", s.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return 0, errors.Annotate(err, "start a node")
	}
	ended := make(chan struct{})
	s.cmd, s.ended = cmd, ended
	s.lives++
	s.reaping.Go(func() {
		_ = cmd.Wait() // a killed one's status is of no interest
		close(ended)
	})
	return s.lives, nil
}

// Signal sends a signal to the process, if it still runs.
func (s *Starter) Signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil || s.gone() {
		return nil
	}
	if err := s.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Trace(err)
	}
	return nil
}

func (s *Starter) gone() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Running reports whether the process lives.
func (s *Starter) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil && !s.gone()
}

// Done returns a channel that is closed when the process is gone.
func (s *Starter) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}
