// Package kernel manages the life cycle of the daemon's services. Services are
// registered by name, started in the order of their registration, looked up by
// name, and drained and stopped in the reverse order.
package kernel

import (
	"context"
	"fmt"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ServiceName identifies a service within a kernel.
type ServiceName string

// Service is a component of the daemon. Each function may be nil.
type Service struct {
	Name ServiceName
	// Value is what Find returns to other services.
	Value any
	// Start starts the service and returns once it can be used.
	Start func(ctx context.Context) error
	// Drain stops accepting new work and returns once pending work is finished.
	Drain func(ctx context.Context) error
	// Stop ends the service's goroutines.
	Stop func(ctx context.Context) error
	// Done is closed when the service has ended, with or without a call of Stop.
	Done <-chan struct{}
}

// Kernel starts, looks up and stops services. The zero value is ready to use.
type Kernel struct {
	mu       sync.Mutex
	services []Service
	started  int
}

// DuplicateError reports that a second service of the same name was added.
type DuplicateError struct{ Name ServiceName }

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("service %q was added twice", e.Name) }

// MissingError reports a lookup of a service that does not exist or whose value
// has another type.
type MissingError struct {
	Name ServiceName
	// Want is the requested type.
	Want string
}

// Error implements error.
func (e *MissingError) Error() string {
	return fmt.Sprintf("no service %q of type %s", e.Name, e.Want)
}

// Add registers a service. It must be called before Start.
func (k *Kernel) Add(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if slices.ContainsFunc(k.services, func(o Service) bool { return o.Name == s.Name }) {
		return &DuplicateError{Name: s.Name}
	}
	k.services = append(k.services, s)
	return nil
}

// Find returns the value of the named service. Any error is a *MissingError.
func Find[T any](k *Kernel, name ServiceName) (value T, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range k.services {
		if v, ok := s.Value.(T); ok && s.Name == name {
			return v, nil
		}
	}
	return value, &MissingError{Name: name, Want: fmt.Sprintf("%T", value)}
}

// Start starts the services in order. If one fails, Start cancels the context of
// the services already started and stops them.
func (k *Kernel) Start(ctx context.Context) (err error) {
	serviceCtx, cancel := context.WithCancel(ctx)
	defer func() {
		if err != nil {
			cancel()
			err = errors.CombineErrors(err, k.Stop(ctx))
		}
	}()
	for _, s := range k.registeredServices() {
		if s.Start != nil {
			if err = s.Start(serviceCtx); err != nil {
				return errors.Wrapf(err, "start service %q", s.Name)
			}
		}
		k.mu.Lock()
		k.started++
		k.mu.Unlock()
	}
	return nil
}

// Drain drains the started services in reverse order.
func (k *Kernel) Drain(ctx context.Context) error {
	return k.callReversed(ctx, "drain", func(s Service) func(context.Context) error { return s.Drain })
}

// Stop stops the started services in reverse order, then waits until the Done
// channel of each is closed or the context ends.
func (k *Kernel) Stop(ctx context.Context) (err error) {
	err = k.callReversed(ctx, "stop", func(s Service) func(context.Context) error { return s.Stop })
	k.mu.Lock()
	started := k.services[:k.started]
	k.started = 0
	k.mu.Unlock()
	for _, s := range slices.Backward(started) {
		if s.Done == nil {
			continue
		}
		select {
		case <-s.Done:
		case <-ctx.Done():
			err = errors.CombineErrors(err, errors.Wrapf(ctx.Err(), "wait for service %q", s.Name))
		}
	}
	return err
}

func (k *Kernel) callReversed(ctx context.Context, operation string, method func(Service) func(context.Context) error) (err error) {
	k.mu.Lock()
	started := slices.Clone(k.services[:k.started])
	k.mu.Unlock()
	for _, s := range slices.Backward(started) {
		call := method(s)
		if call == nil {
			continue
		}
		err = errors.CombineErrors(err, errors.Wrapf(call(ctx), "%s service %q", operation, s.Name))
	}
	return err
}

func (k *Kernel) registeredServices() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.services)
}
