package trial_test

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

var _ = Describe("The bill", func() {
	It("charges each completed request once at the pool's price, whichever node reports the bill", func(ctx context.Context) {
		h := newHarness(ctx)
		const question = "what does a plan cost"
		res, err := h.call(ctx, http.MethodPost, h.addresses.Callers+"/v1/chat/completions", sellers, nil, chatBody(question, false))
		Expect(err).NotTo(HaveOccurred())
		var response edge.Completion
		Expect(json.Unmarshal([]byte(res.Body), &response)).To(Succeed())
		for range 3 {
			_, err = h.order(ctx, "", "plan-1")
			Expect(err).NotTo(HaveOccurred())
		}
		// The prices are those of trial.Document: 10 per prompt token, 50 per generated
		// token and 7000 per call.
		prompt := "user: " + question + "\n"
		chatPrice := response.Usage.PromptTokens*10 + fleet.Tokens(standin.ResponseLength(prompt))*50
		for _, n := range h.trial.Nodes {
			c := &operator.Client{Address: "http://" + n.OperatorAddress(), Token: h.addresses.Token}
			Eventually(func() (charged []fleet.MicroCents) {
				bill, err := c.Bill(ctx)
				Expect(err).NotTo(HaveOccurred())
				for _, l := range bill.Lines {
					Expect(l).To(HaveField("Requests", 1))
					charged = append(charged, l.Charged)
				}
				return charged
			}).WithContext(ctx).WithTimeout(30 * time.Second).Should(ConsistOf(fleet.MicroCents(7000), fleet.MicroCents(chatPrice)))
		}
	}, NodeTimeout(time.Minute))
})
