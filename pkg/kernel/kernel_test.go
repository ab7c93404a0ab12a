package kernel_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/kernel"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

// newRunningService returns a service that runs until its context ends.
func newRunningService(name kernel.ServiceName) kernel.Service {
	done := make(chan struct{})
	var g errgroup.Group
	return kernel.Service{Name: name, Value: &g, Done: done, Start: func(ctx context.Context) error {
		g.Go(func() error {
			defer close(done)
			<-ctx.Done()
			return nil
		})
		return nil
	}}
}

var _ = Describe("A kernel", func() {
	It("stops the services already started when a later one fails to start", func(ctx context.Context) {
		var k kernel.Kernel
		first := newRunningService("first")
		Expect(k.Add(first)).To(Succeed())
		Expect(k.Add(kernel.Service{Name: "second", Start: func(context.Context) error { return errors.New("port in use") }})).To(Succeed())
		Expect(k.Start(ctx)).To(MatchError(ContainSubstring(`start service "second": port in use`)))
		Expect(first.Done).To(BeClosed())
	}, NodeTimeout(time.Minute))

	It("refuses a second service of the same name", func() {
		var k kernel.Kernel
		Expect(k.Add(kernel.Service{Name: "a"})).To(Succeed())
		var duplicate *kernel.DuplicateError
		Expect(errors.As(k.Add(kernel.Service{Name: "a"}), &duplicate)).To(BeTrue())
	})

	It("finds a service by name and type", func() {
		var k kernel.Kernel
		Expect(k.Add(kernel.Service{Name: "a", Value: 7})).To(Succeed())
		Expect(kernel.Find[int](&k, "a")).To(Equal(7))
		_, err := kernel.Find[string](&k, "a")
		var missing *kernel.MissingError
		Expect(errors.As(err, &missing)).To(BeTrue())
	})
})
