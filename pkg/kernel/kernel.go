// Package kernel is the micro-kernel of the daemon. Services are added to it
// by name, started in the order in which they were added, found by name while
// they run, and drained and stopped in the reverse order.
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

// Service is one part of the daemon. Every function may be nil.
type Service struct {
	Name ServiceName
	// Value is what Find returns to other services.
	Value any
	// Start returns once the service can be used.
	Start func(ctx context.Context) error
	// Drain takes no new work and returns once the work at hand is finished.
	Drain func(ctx context.Context) error
	// Stop ends the service's goroutines.
	Stop func(ctx context.Context) error
	// Done is closed when the service has ended, by itself or by Stop.
	Done <-chan struct{}
}

// Kernel starts, finds and stops services. The zero value is ready to use.
type Kernel struct {
	mu       sync.Mutex
	services []Service
	started  int
}

// DuplicateError reports a second service of the same name.
type DuplicateError struct{ Name ServiceName }

// Error implements error.
func (e *DuplicateError) Error() string { return fmt.Sprintf("service %q was added twice", e.Name) }

// MissingError reports a look-up of a service that is absent or of another type.
type MissingError struct {
	Name ServiceName
	// Want is the type that was asked for.
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

// Find returns the value of the named service. The error is a *MissingError.
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

// Start starts the services in order. If one fails, the context of those
// already started ends and they are stopped again.
func (k *Kernel) Start(ctx context.Context) (err error) {
	lives, end := context.WithCancel(ctx)
	defer func() {
		if err != nil {
			end()
			err = errors.CombineErrors(err, k.Stop(ctx))
		}
	}()
	for _, s := range k.list() {
		if s.Start != nil {
			if err = s.Start(lives); err != nil {
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
	return k.backwards(ctx, "drain", func(s Service) func(context.Context) error { return s.Drain })
}

// Stop stops the started services in reverse order and waits for each one's
// done channel or for the context.
func (k *Kernel) Stop(ctx context.Context) (err error) {
	err = k.backwards(ctx, "stop", func(s Service) func(context.Context) error { return s.Stop })
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

func (k *Kernel) backwards(ctx context.Context, verb string, pick func(Service) func(context.Context) error) (err error) {
	k.mu.Lock()
	started := slices.Clone(k.services[:k.started])
	k.mu.Unlock()
	for _, s := range slices.Backward(started) {
		call := pick(s)
		if call == nil {
			continue
		}
		err = errors.CombineErrors(err, errors.Wrapf(call(ctx), "%s service %q", verb, s.Name))
	}
	return err
}

func (k *Kernel) list() []Service {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Clone(k.services)
}
