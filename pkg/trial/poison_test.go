package trial_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

// sendChat sends a chat request to an address and returns the status code.
func sendChat(ctx context.Context, address, text string) (status int, err error) {
	body, err := json.Marshal(edge.ChatRequest{
		Model:    string(trial.PoolModel),
		Messages: []edge.Message{{Role: "user", Content: edge.Content(text)}},
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+trial.Keys["season-plans"])
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

var _ = Describe("A content that crashes endpoints", func() {
	const poison = "a trolley of nettles"

	start := func(ctx context.Context) (*trial.Trial, trial.Addresses) {
		t := &trial.Trial{}
		Expect(t.Start(ctx)).To(Succeed())
		DeferCleanup(func(ctx context.Context) { Expect(t.Stop(ctx)).To(Succeed()) })
		a, err := t.Open()
		Expect(err).NotTo(HaveOccurred())
		t.Cloud.CrashOn(poison)
		return t, a
	}

	It("takes two endpoints at most when it is sent repeatedly", func(ctx context.Context) {
		t, a := start(ctx)
		for range 6 {
			status, err := sendChat(ctx, a.Callers, "price of "+poison)
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusUnprocessableEntity))
		}
		Expect(t.Cloud.Crashes()).To(Equal(2))
	}, NodeTimeout(time.Minute))

	It("takes two endpoints at most when every node gets it at once, and others' answers come", func(ctx context.Context) {
		t, a := start(ctx)
		var g errgroup.Group
		for n := range 24 {
			g.Go(func() error {
				status, err := sendChat(ctx, a.Callers, "price of "+poison)
				if err == nil && status == http.StatusOK {
					err = context.Canceled
				}
				return err
			})
			g.Go(func() error {
				status, err := sendChat(ctx, a.Callers, "price of trolley "+string(rune('a'+n)))
				if err == nil && status != http.StatusOK {
					err = context.Canceled
				}
				return err
			})
		}
		Expect(g.Wait()).To(Succeed())
		Expect(t.Cloud.Crashes()).To(BeNumerically("<=", 2))
	}, NodeTimeout(time.Minute))
})
