package platform_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/platform"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

func TestWeightStoreLimit(t *testing.T) {
	g := NewWithT(t)
	store := &standin.WeightStore{Bytes: 7, Every: time.Hour}
	server := httptest.NewServer(store.Handler())
	defer server.Close()
	c := platform.DialWeights(server.URL, "", server.Client())
	w, err := c.Describe(context.Background(), "loom", "a/b")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(w).To(Equal(platform.Weights{Model: "loom", Version: "a/b", Bytes: 7, Digest: "loom@a/b"}))
	_, err = c.Describe(context.Background(), "loom", "c")
	g.Expect(err).To(MatchError(&platform.LimitedError{Service: "weight store", RetryAfter: time.Hour}))
	store.Switch.Set(standin.StateDown)
	_, err = c.Describe(context.Background(), "loom", "c")
	g.Expect(platform.Sent(err)).To(BeTrue())
	_, err = new(platform.WeightStore).Describe(context.Background(), "loom", "c")
	g.Expect(err).To(HaveOccurred())
	g.Expect(platform.Sent(err)).To(BeFalse())
}
