// Package supervisor starts the named services of a process in a visible order and
// lets them find each other by name.
package supervisor

import (
	"context"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Service is one duty of the process.
type Service interface {
	// Name returns the name under which other services find this one.
	Name() string
	// Run works until ctx ends. An error ends the whole process.
	Run(ctx context.Context) error
}

// Supervisor holds the registered services.
type Supervisor struct {
	order  []Service
	byName map[string]Service
}

// New returns a Supervisor of services, which start in the order given and stop in
// the opposite one.
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

// Find returns the service called name as a T.
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

type running struct {
	cancel context.CancelFunc
	done   chan struct{}
}

// Run runs all services until ctx ends or one of them fails. The last service
// is stopped first, and each has ended before the one it was started after is
// told to end.
func (sup *Supervisor) Run(ctx context.Context) error {
	g, failed := errgroup.WithContext(ctx)
	live := make([]running, 0, len(sup.order))
	for _, s := range sup.order {
		own, cancel := context.WithCancel(context.WithoutCancel(ctx))
		r := running{cancel: cancel, done: make(chan struct{})}
		live = append(live, r)
		g.Go(func() error {
			defer close(r.done)
			return errors.Annotatef(s.Run(own), "service %s", s.Name())
		})
	}
	<-failed.Done()
	for i := len(live) - 1; i >= 0; i-- {
		live[i].cancel()
		<-live[i].done
	}
	return g.Wait()
}
