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

var suite *testing.T

func TestConfig(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

const good = "pools: [{name: cart-desk, kind: service}]\n"

// newKeeper returns a keeper that runs on a log; bad counts what it could not
// read.
func newKeeper(log *standin.Log, bad *int) *config.Store {
	k := &config.Store{Invalid: func(config.Change, error) { *bad++ }}
	k.Stream = &journal.Stream{Log: log.Client(), Name: platform.StreamConfig, Apply: k.Apply, Save: k.Save, Load: k.Load}
	return k
}

func virtual(f func(ctx context.Context, log *standin.Log, k *config.Store, bad *int)) func() {
	return func() {
		synctest.Test(suite, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			log, bad := &standin.Log{}, 0
			k := newKeeper(log, &bad)
			var g errgroup.Group
			g.Go(func() error { return k.Stream.Run(ctx) })
			defer func() {
				cancel()
				_ = g.Wait()
			}()
			defer GinkgoRecover()
			Expect(k.Stream.WaitReady(ctx)).To(Succeed())
			f(ctx, log, k, &bad)
		})
	}
}

func publish(base fleet.Revision, document string) record.Publish {
	return record.Publish{Base: base, Document: []byte(document), Author: "operator", Message: "test"}
}

var _ = Describe("A keeper", func() {
	It("refuses a bad document before it is appended, with every error", virtual(func(ctx context.Context, log *standin.Log, k *config.Store, _ *int) {
		_, _, err := k.Publish(ctx, publish(0, "pools: [{name: a, kind: x}, {name: a, kind: y}]\n"))
		var bad *strict.Error
		Expect(errors.As(err, &bad)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring(`found "x"`), ContainSubstring(`found "y"`), ContainSubstring("listed twice")))
		Expect(log.Appends()).To(BeZero())
	}))

	It("tells the loser of a race what is in force", virtual(func(ctx context.Context, _ *standin.Log, k *config.Store, _ *int) {
		id, c, err := k.Publish(ctx, publish(0, good))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(BeEquivalentTo(1))
		_, _, err = k.Publish(ctx, publish(0, good))
		var conflict *config.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(conflict.Current.ID).To(Equal(id))
	}))

	It("resolves a publish whose answer was lost by its ID", virtual(func(ctx context.Context, log *standin.Log, k *config.Store, _ *int) {
		log.Delay = time.Minute
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		id, _, err := k.Publish(short, publish(0, good))
		Expect(err).To(MatchError(context.DeadlineExceeded))
		var pending *config.PendingError
		_, err = k.Outcome(id, 0)
		Expect(errors.As(err, &pending)).To(BeTrue())
		e, err := record.New(record.KindPublish, time.Now(), publish(0, good))
		Expect(err).NotTo(HaveOccurred())
		e.ID = id
		data, err := record.EncodeGroup([]record.Envelope{e})
		Expect(err).NotTo(HaveOccurred())
		log.Put(platform.StreamConfig, data)
		synctest.Wait()
		c, err := k.Outcome(id, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(BeEquivalentTo(1))
	}))

	It("keeps the last good configuration when a record cannot be read, and says so", virtual(func(ctx context.Context, log *standin.Log, k *config.Store, bad *int) {
		_, _, err := k.Publish(ctx, publish(0, good))
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
		Expect(k.Revision()).To(BeEquivalentTo(1))
		Expect(*bad).To(Equal(1))
		Expect(k.Stream.Stats().Unreadable).To(Equal(3))
		_, c, err := k.Publish(ctx, publish(2, good))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Revision).To(BeEquivalentTo(3))
		Expect(k.Revision()).To(BeEquivalentTo(3))
	}))

	It("never goes back, whatever a peer says", virtual(func(ctx context.Context, _ *standin.Log, k *config.Store, _ *int) {
		Expect(k.Receive(config.Change{Revision: 5, Document: []byte(good)})).To(Succeed())
		Expect(k.Receive(config.Change{Revision: 4, Document: []byte(good)})).To(Succeed())
		Expect(k.Revision()).To(BeEquivalentTo(5))
		_, _, err := k.Publish(ctx, publish(0, good))
		Expect(err).NotTo(HaveOccurred())
		Expect(k.Revision()).To(BeEquivalentTo(5))
	}))
})
