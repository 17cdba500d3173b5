// Package supervisor runs the services of a process. It starts them in a given
// order, stops them in reverse order, and finds them by name.
package supervisor

import (
	"context"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/auburnnotch/auburnnotch/pkg/clock"
)

// abandonTimeout is how long the remaining services may take together once the stop
// timeout has passed.
const abandonTimeout = 50 * time.Millisecond

// Service is a long-running component of a process.
type Service interface {
	// Name returns the unique name of the service, by which Find finds it.
	Name() string
	// Run runs the service until ctx is canceled. An error stops all services.
	Run(ctx context.Context) error
}

// Supervisor runs a fixed list of services.
type Supervisor struct {
	order  []Service
	byName map[string]Service

	clk         clock.Clock
	stopTimeout time.Duration // 0 for no limit
	abandoned   func(service string)
}

// New returns a Supervisor of services, which start in the given order and stop in
// reverse order. Their names must be unique.
func New(services ...Service) (*Supervisor, error) {
	sup := &Supervisor{byName: make(map[string]Service, len(services))}
	for _, s := range services {
		if _, ok := sup.byName[s.Name()]; ok {
			return nil, errors.AlreadyExistsf("service %q", s.Name())
		}
		sup.byName[s.Name()] = s
		sup.order = append(sup.order, s)
	}
	return sup, nil
}

// WithStopTimeout returns a copy of sup that waits for its services d at most, counted
// from the cancellation. After that it calls abandoned with the name of the service
// that it was waiting for, cancels those that remain and returns a Timeout error.
func (sup *Supervisor) WithStopTimeout(clk clock.Clock, d time.Duration, abandoned func(service string)) *Supervisor {
	limited := *sup
	limited.clk, limited.stopTimeout, limited.abandoned = clk, d, abandoned
	return &limited
}

// Find returns the service called name as a T. The error is NotFound if there is no
// such service and NotValid if it is not a T.
func Find[T any](sup *Supervisor, name string) (T, error) {
	var zero T
	s, ok := sup.byName[name]
	if !ok {
		return zero, errors.NotFoundf("service %q", name)
	}
	t, ok := s.(T)
	if !ok {
		return zero, errors.NotValidf("service %q: type %T", name, s)
	}
	return t, nil
}

type startedService struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
}

// Run runs all services until ctx is canceled or one of them fails. It then stops
// them in reverse order and waits for each before it stops the next one.
func (sup *Supervisor) Run(ctx context.Context) error {
	g, groupCtx := errgroup.WithContext(ctx)
	started := make([]startedService, 0, len(sup.order))
	for _, s := range sup.order {
		serviceCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		r := startedService{name: s.Name(), cancel: cancel, done: make(chan struct{})}
		started = append(started, r)
		g.Go(func() error {
			defer close(r.done)
			return errors.Annotatef(s.Run(serviceCtx), "service %s", s.Name())
		})
	}
	<-groupCtx.Done()
	if err := sup.stop(started); err != nil {
		return err // g.Wait may never return
	}
	return g.Wait()
}

// stop stops services in reverse order.
func (sup *Supervisor) stop(services []startedService) error {
	var timeout <-chan time.Time
	if sup.stopTimeout > 0 {
		timeout = sup.clk.After(sup.stopTimeout)
	}
	for i := len(services) - 1; i >= 0; i-- {
		s := services[i]
		s.cancel()
		select {
		case <-s.done:
		case <-timeout:
			sup.abandoned(s.name)
			sup.abandon(services[:i])
			return errors.Timeoutf("stop of service %s", s.name)
		}
	}
	return nil
}

// abandon cancels services all at once and waits for them for a short time.
func (sup *Supervisor) abandon(services []startedService) {
	for _, s := range services {
		s.cancel()
	}
	timeout := sup.clk.After(abandonTimeout)
	for _, s := range services {
		select {
		case <-s.done:
		case <-timeout:
			return
		}
	}
}
