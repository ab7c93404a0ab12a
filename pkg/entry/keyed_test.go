package entry_test

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

func keyHeaders(key string, more ...string) map[string]string {
	h := map[string]string{edge.IdempotencyKeyHeader: key}
	for i := 0; i < len(more); i += 2 {
		h[more[i]] = more[i+1]
	}
	return h
}

var _ = Describe("A keyed request", func() {
	It("returns the first response again, conflicts with a different body, and belongs to its account", func() {
		e := newFixture()
		const path = "/v1/services/guichet/coins"
		first := e.send(http.MethodPost, path, `{"coins":2}`, keyHeaders("k"))
		Expect(first.Status).To(Equal(http.StatusOK), first.Body)
		Expect(e.send(http.MethodPost, path, `{"coins":2}`, keyHeaders("k")).Body).To(Equal(first.Body))
		conflict := e.send(http.MethodPost, path, `{"coins":3}`, keyHeaders("k"))
		Expect(conflict.Status).To(Equal(http.StatusUnprocessableEntity))
		Expect(e.calls).To(HaveLen(1))
		Expect(e.send(http.MethodPost, path, `{"coins":3}`, keyHeaders("k", "Authorization", "Bearer two")).Status).To(Equal(http.StatusOK))
		Expect(e.calls).To(HaveLen(2))
	})

	It("is answered asynchronously at the path in the Location header", func() {
		e := newFixture()
		const key = "a/b ü?"
		r := e.send(http.MethodPost, "/v1/chat/completions", `{`+chatFields+`}`, keyHeaders(key, "Prefer", "respond-async"))
		Expect(r.Status).To(Equal(http.StatusAccepted), r.Body)
		location := r.Header.Get("Location")
		Expect(location).To(Equal("/v1/requests/" + url.PathEscape(key)))
		Eventually(func(g Gomega) {
			var s edge.State
			g.Expect(json.Unmarshal([]byte(e.send(http.MethodGet, location, "", nil).Body), &s)).To(Succeed())
			g.Expect(s.Outcome).To(Equal(fleet.OutcomeDone))
			var c edge.Completion
			g.Expect(json.Unmarshal([]byte(s.Response.Body), &c)).To(Succeed())
			g.Expect(c.Choices[0].Message.Content).To(Equal(strings.Join(tokens, "")))
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
		other := e.send(http.MethodGet, location, "", map[string]string{"Authorization": "Bearer two"})
		Expect(other.Status).To(Equal(http.StatusNotFound))
		Expect(other.outcome()).To(Equal(fleet.OutcomeUnknown))
	})

	It("streams the stored response each time if a stream is requested", func() {
		e := newFixture()
		var bodies []string
		for range 2 {
			r := e.send(http.MethodPost, "/v1/chat/completions", `{"stream":true,"stream_options":{"include_usage":true},`+chatFields+`}`, keyHeaders("s"))
			Expect(r.Header.Get("Content-Type")).To(Equal("text/event-stream"))
			Expect(r.Body).To(HaveSuffix("data: [DONE]\n\n"))
			Expect(r.Body).To(ContainSubstring(`"total_tokens":11`))
			bodies = append(bodies, r.Body)
		}
		Expect(bodies[1]).To(Equal(bodies[0]))
	})
})
