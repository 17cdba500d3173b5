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
	log  *journal
	err  error
}

type journal struct {
	mu   sync.Mutex
	ends []string
}

func (s *service) Name() string { return s.name }

func (s *service) Run(ctx context.Context) error {
	if s.err != nil {
		return s.err
	}
	<-ctx.Done()
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.ends = append(s.log.ends, s.name)
	return nil
}

func TestStopsInTheOppositeOrder(t *testing.T) {
	log := &journal{}
	sup, err := supervisor.New(&service{name: "a", log: log}, &service{name: "b", log: log}, &service{name: "c", log: log})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := sup.Run(ctx); err != nil || strings.Join(log.ends, "") != "cba" {
		t.Errorf("ended %v, error %v", log.ends, err)
	}
}

func TestAFailingServiceEndsTheOthers(t *testing.T) {
	log := &journal{}
	sup, err := supervisor.New(&service{name: "a", log: log}, &service{name: "b", log: log, err: errors.New("broken")})
	if err != nil {
		t.Fatal(err)
	}
	if err := sup.Run(t.Context()); err == nil || !strings.Contains(err.Error(), "service b: broken") || len(log.ends) != 1 {
		t.Errorf("ended %v, error %v", log.ends, err)
	}
}

func TestFindsByName(t *testing.T) {
	a := &service{name: "a"}
	sup, err := supervisor.New(a)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := supervisor.Find[*service](sup, "a"); err != nil || got != a {
		t.Errorf("%v %v", got, err)
	}
	if _, err := supervisor.Find[*service](sup, "b"); !errors.Is(err, errors.NotFound) {
		t.Errorf("error %v, want not found", err)
	}
	if _, err := supervisor.New(a, a); !errors.Is(err, errors.AlreadyExists) {
		t.Errorf("error %v, want already exists", err)
	}
}
