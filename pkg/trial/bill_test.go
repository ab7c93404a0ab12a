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
	It("charges each answered request once by the pool's price, on whichever node it is asked for", func(ctx context.Context) {
		o := start(ctx)
		const question = "what does a plan cost"
		a, err := o.call(ctx, http.MethodPost, o.at.Callers+"/v1/chat/completions", sellers, nil, chatBody(question, false))
		Expect(err).NotTo(HaveOccurred())
		var answer edge.Answer
		Expect(json.Unmarshal([]byte(a.Body), &answer)).To(Succeed())
		for range 3 {
			_, err = o.order(ctx, "", "plan-1")
			Expect(err).NotTo(HaveOccurred())
		}
		prompt := "user: " + question + "\n"
		tokens := answer.Usage.PromptTokens*10 + fleet.Tokens(standin.LengthOf(prompt))*50
		for _, n := range o.trial.Nodes {
			c := &operator.Client{Address: "http://" + n.Operators(), Token: o.at.Token}
			Eventually(func() (charged []fleet.MicroCents) {
				bill, err := c.Bill(ctx)
				Expect(err).NotTo(HaveOccurred())
				for _, l := range bill.Lines {
					Expect(l).To(HaveField("Requests", 1))
					charged = append(charged, l.Charged)
				}
				return charged
			}).WithContext(ctx).WithTimeout(30 * time.Second).Should(ConsistOf(fleet.MicroCents(7000), fleet.MicroCents(tokens)))
		}
	}, NodeTimeout(time.Minute))
})
