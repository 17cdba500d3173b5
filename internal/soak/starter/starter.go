// Package starter starts node processes, sends signals to them and waits for their
// exit.
package starter

import (
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/juju/errors"
)

// Starter manages the process of one node, which may be started repeatedly. It is
// safe for concurrent use.
type Starter struct {
	program, settingsPath, logPath string

	waits sync.WaitGroup
	mu    sync.Mutex
	cmd   *exec.Cmd
	// done is closed when the process has exited.
	done         chan struct{}
	incarnations int
}

// New returns a Starter that runs program with a settings file and appends its
// output to a log file.
func New(program, settingsPath, logPath string) *Starter {
	return &Starter{program: program, settingsPath: settingsPath, logPath: logPath}
}

// Start starts the process and returns its incarnation number, which starts at 1.
func (s *Starter) Start() (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, err := os.OpenFile(s.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return 0, errors.Annotate(err, "open node log")
	}
	defer out.Close()
	cmd := exec.Command(s.program, "serve-platform", s.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return 0, errors.Annotate(err, "start node")
	}
	ended := make(chan struct{})
	s.cmd, s.done = cmd, ended
	s.incarnations++
	s.waits.Go(func() {
		_ = cmd.Wait() // the exit status of a killed process is irrelevant
		close(ended)
	})
	return s.incarnations, nil
}

// Signal sends a signal to the process if it is running.
func (s *Starter) Signal(sig syscall.Signal) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil || s.exited() {
		return nil
	}
	if err := s.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return errors.Trace(err)
	}
	return nil
}

func (s *Starter) exited() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Running reports whether the process is running.
func (s *Starter) Running() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cmd != nil && !s.exited()
}

// Done returns a channel that is closed when the process has exited.
func (s *Starter) Done() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done
}
