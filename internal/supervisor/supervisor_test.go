package supervisor_test

import (
	"context"
	"strings"
	"sync"
	"testing"

	"github.com/juju/errors"

	"github.com/auburnnotch/auburnnotch/internal/supervisor"
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
