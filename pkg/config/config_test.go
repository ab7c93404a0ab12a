package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/record"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/journal"
	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

var suiteT *testing.T

func TestConfig(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const validDocument = "pools: [{name: cart-desk, kind: service}]\n"

// newStore returns a store that follows a log. It counts changes with an invalid
// document in invalid.
func newStore(log *standin.Log, invalid *int) *config.Store {
	s := &config.Store{OnInvalid: func(config.Change, error) { *invalid++ }}
	s.Stream = &journal.Stream{Log: log.Client(), Name: platform.StreamConfig, Apply: s.Apply, Save: s.Save, Load: s.Load}
	return s
}

func inVirtualTime(f func(ctx context.Context, log *standin.Log, s *config.Store, invalid *int)) func() {
	return func() {
		synctest.Test(suiteT, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			log, invalid := &standin.Log{}, 0
			s := newStore(log, &invalid)
			var g errgroup.Group
			g.Go(func() error { return s.Stream.Run(ctx) })
			defer func() {
				cancel()
				_ = g.Wait()
			}()
			defer GinkgoRecover()
			Expect(s.Stream.WaitReady(ctx)).To(Succeed())
			f(ctx, log, s, &invalid)
		})
	}
}

func publish(base fleet.Revision, document string) record.Publish {
	return record.Publish{Base: base, Document: []byte(document), Author: "operator", Message: "test"}
}

var _ = Describe("A configuration store", func() {
	It("rejects an invalid document with all errors and does not append it", inVirtualTime(func(ctx context.Context, log *standin.Log, s *config.Store, _ *int) {
		_, _, err := s.Publish(ctx, publish(0, "pools: [{name: a, kind: x}, {name: a, kind: y}]\n"))
		var invalid *strict.Error
		Expect(errors.As(err, &invalid)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring(`found "x"`), ContainSubstring(`found "y"`), ContainSubstring("listed twice")))
		Expect(log.Appends()).To(BeZero())
	}))

	It("returns the change in force to the publisher with an outdated base", inVirtualTime(func(ctx context.Context, _ *standin.Log, s *config.Store, _ *int) {
		id, c, err := s.Publish(ctx, publish(0, validDocument))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(BeEquivalentTo(1))
		_, _, err = s.Publish(ctx, publish(0, validDocument))
		var conflict *config.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Current.ID).To(Equal(id))
	}))

	It("returns the outcome of a publish whose response was lost by its ID", inVirtualTime(func(ctx context.Context, log *standin.Log, s *config.Store, _ *int) {
		log.Delay = time.Minute
		timeoutCtx, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		id, _, err := s.Publish(timeoutCtx, publish(0, validDocument))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		var pending *config.PendingError
		_, err = s.Outcome(id, 0)
		Expect(errors.As(err, &pending)).To(BeTrue())
		e, err := record.New(record.KindPublish, time.Now(), publish(0, validDocument))
		Expect(err).NotTo(HaveOccurred())
		e.ID = id
		data, err := record.EncodeGroup([]record.Envelope{e})
		Expect(err).NotTo(HaveOccurred())
		log.Put(platform.StreamConfig, data)
		synctest.Wait()
		c, err := s.Outcome(id, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(BeEquivalentTo(1))
	}))

	It("keeps the last valid configuration and reports records that cannot be read", inVirtualTime(func(ctx context.Context, log *standin.Log, s *config.Store, invalid *int) {
		_, _, err := s.Publish(ctx, publish(0, validDocument))
		Expect(err).NotTo(HaveOccurred())
		unreadable, err := record.New(record.KindPublish, time.Now(), publish(1, "pools: {from: a newer version}\n"))
		Expect(err).NotTo(HaveOccurred())
		newer := unreadable
		newer.Version = record.Version + 1
		data, err := record.EncodeGroup([]record.Envelope{unreadable, newer})
		Expect(err).NotTo(HaveOccurred())
		log.Put(platform.StreamConfig, data)
		log.Put(platform.StreamConfig, []byte("garbage"))
		synctest.Wait()
		Expect(s.Revision()).To(BeEquivalentTo(1))
		Expect(*invalid).To(Equal(1))
		Expect(s.Stream.Stats().Unreadable).To(Equal(3))
		_, c, err := s.Publish(ctx, publish(2, validDocument))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(BeEquivalentTo(3))
		Expect(s.Revision()).To(BeEquivalentTo(3))
	}))

	It("never returns to a lower revision, from peers or from the stream", inVirtualTime(func(ctx context.Context, _ *standin.Log, s *config.Store, _ *int) {
		Expect(s.Receive(config.Change{Revision: 5, Document: []byte(validDocument)})).To(Succeed())
		Expect(s.Receive(config.Change{Revision: 4, Document: []byte(validDocument)})).To(Succeed())
		Expect(s.Revision()).To(BeEquivalentTo(5))
		_, _, err := s.Publish(ctx, publish(0, validDocument))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Revision()).To(BeEquivalentTo(5))
	}))
})
