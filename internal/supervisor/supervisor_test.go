package supervisor_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/supervisor"
	"github.com/auburnnotch/auburnnotch/internal/systemclock"
)

type service struct {
	name string
	log  *stopLog
	err  error
}

type stopLog struct {
	mu      sync.Mutex
	stopped []string
}

func (s *service) Name() string { return s.name }

func (s *service) Run(ctx context.Context) error {
	if s.err != nil {
		return s.err
	}
	<-ctx.Done()
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.stopped = append(s.log.stopped, s.name)
	return nil
}

func TestServicesStopInReverseOrder(t *testing.T) {
	log := &stopLog{}
	sup, err := supervisor.New(&service{name: "a", log: log}, &service{name: "b", log: log}, &service{name: "c", log: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sup.Run(ctx); err != nil || strings.Join(log.stopped, "") != "cba" {
		t.Errorf("stopped services %v, error %v", log.stopped, err)
	}
}

func TestFailingServiceStopsOthers(t *testing.T) {
	log := &stopLog{}
	sup, err := supervisor.New(&service{name: "a", log: log}, &service{name: "b", log: log, err: errors.New("broken")})
	if err != nil {
		t.Fatal(err)
	}
	if err := sup.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "service b: broken") || len(log.stopped) != 1 {
		t.Errorf("stopped services %v, error %v", log.stopped, err)
	}
}

// stuckService ignores the cancellation of its context.
type stuckService struct{ release chan struct{} }

func (stuckService) Name() string { return "stuck" }

func (s stuckService) Run(context.Context) error {
	<-s.release
	return nil
}

// Guards against a process that outlives its grace period: a service that ignored its
// cancellation kept Run from returning, and the services below it from stopping.
func TestStuckServiceIsAbandoned(t *testing.T) {
	log := &stopLog{}
	stuck := stuckService{release: make(chan struct{})}
	defer close(stuck.release)
	sup, err := supervisor.New(&service{name: "a", log: log}, stuck, &service{name: "b", log: log})
	if err != nil {
		t.Fatal(err)
	}
	var abandoned []string
	sup = sup.WithStopTimeout(systemclock.New(), 20*time.Millisecond, func(name string) { abandoned = append(abandoned, name) })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sup.Run(ctx); !errors.Is(err, errors.Timeout) {
		t.Errorf("error %v, want a timeout", err)
	}
	log.mu.Lock()
	defer log.mu.Unlock()
	if strings.Join(log.stopped, "") != "ba" || strings.Join(abandoned, "") != "stuck" {
		t.Errorf("stopped services %v, abandoned %v", log.stopped, abandoned)
	}
}

func TestFindByName(t *testing.T) {
	a := &service{name: "a"}
	sup, err := supervisor.New(a)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := supervisor.Find[*service](sup, "a"); err != nil || got != a {
		t.Errorf("service %v, error %v", got, err)
	}
	if _, err := supervisor.Find[*service](sup, "b"); !errors.Is(err, errors.NotFound) {
		t.Errorf("error %v, want not found", err)
	}
	if _, err := supervisor.New(a, a); !errors.Is(err, errors.AlreadyExists) {
		t.Errorf("error %v, want already exists", err)
	}
}
