// Package supervisor runs the services of a process. It starts them in a given
// order, stops them in reverse order, and finds them by name.
package supervisor

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

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
		r := startedService{cancel: cancel, done: make(chan struct{})}
		started = append(started, r)
		g.Go(func() error {
			defer close(r.done)
			return errors.Annotatef(s.Run(serviceCtx), "service %s", s.Name())
		})
	}
	<-groupCtx.Done()
	for i := len(started) - 1; i >= 0; i-- {
		started[i].cancel()
		<-started[i].done
	}
	return g.Wait()
}
