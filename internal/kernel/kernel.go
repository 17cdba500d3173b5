// Package kernel starts the named services of a process in a visible order and
// lets them find each other by name.
package kernel

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

// Kernel holds the registered services.
type Kernel struct {
	order  []Service
	byName map[string]Service
}

// New returns a Kernel of services, which start in the order given and stop in
// the opposite one.
func New(services ...Service) (*Kernel, error) {
	k := &Kernel{byName: make(map[string]Service, len(services))}
	for _, s := range services {
		if _, ok := k.byName[s.Name()]; ok {
			return nil, errors.AlreadyExistsf("service %q", s.Name())
		}
		k.byName[s.Name()] = s
		k.order = append(k.order, s)
	}
	return k, nil
}

// Find returns the service called name as a T.
func Find[T any](k *Kernel, name string) (T, error) {
	var zero T
	s, ok := k.byName[name]
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
func (k *Kernel) Run(ctx context.Context) error {
	g, failed := errgroup.WithContext(ctx)
	live := make([]running, 0, len(k.order))
	for _, s := range k.order {
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
