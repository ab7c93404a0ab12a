package entry_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/endpoint"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

var _ = Describe("A plain service", func() {
	It("receives the path, the query and the listed headers as they were sent", func() {
		e := newFixture()
		r := e.send(http.MethodGet, "/v1/services/guichet/a%2Fb/%C3%A9?x=1&y=%26", "", map[string]string{
			"Accept": "text/html", "Cookie": "secret", "X-Forwarded-Host": "elsewhere", "If-None-Match": `"v1"`,
		})
		Expect(r.Status).To(Equal(http.StatusOK))
		Expect(r.Body).To(Equal("done"))
		Expect(r.outcome()).To(BeEmpty())
		c := e.calls[0]
		Expect(c.Path).To(Equal("/a%2Fb/%C3%A9?x=1&y=%26"))
		Expect(c.Account).To(Equal(fleet.AccountName("dentists")))
		Expect(c.Header).To(HaveKeyWithValue("Accept", []string{"text/html"}))
		Expect(c.Header).To(HaveKeyWithValue("If-None-Match", []string{`"v1"`}))
		Expect(c.Header).To(HaveLen(2))
	})

	It("responds with its status, content type and listed headers", func() {
		e := newFixture()
		e.serveCall = func(c endpoint.ServiceCall) (endpoint.Response, error) {
			status := map[string]int{"/made": 201, "/none": 204, "/same": 304, "/moved": 302, "/bad": 500}[c.Path]
			return endpoint.Response{Status: status, ContentType: "text/x", ContentLength: 2, Body: []byte("ok"), Header: http.Header{
				"Etag": {`"v2"`}, "Location": {map[bool]string{true: "//elsewhere/x", false: "/there"}[c.Path == "/bad"]},
			}}, nil
		}
		for path, status := range map[string]int{"/made": 201, "/none": 204, "/same": 304, "/moved": 302, "/bad": 500} {
			r := e.send(http.MethodPut, "/v1/services/guichet"+path, "x", nil)
			Expect(r.Status).To(Equal(status))
			Expect(r.Header.Get("Etag")).To(Equal(`"v2"`))
			if status == http.StatusInternalServerError {
				Expect(r.outcome()).To(Equal(fleet.OutcomeFailed))
				Expect(r.Header).NotTo(HaveKey("Location"))
			} else {
				Expect(r.Header.Get("Location")).To(Equal("/v1/services/guichet/there"))
			}
		}
		r := e.send(http.MethodHead, "/v1/services/guichet/made", "", nil)
		Expect(r.Header.Get("Content-Length")).To(Equal("2"))
		Expect(r.Body).To(BeEmpty())
	})

	It("needs a key for methods that are not idempotent, except on repeatable paths", func() {
		e := newFixture()
		for path, status := range map[string]int{"/quotes": 200, "/quotes/1?x=y": 200, "/quotesx": 400, "/%71uotes": 400, "/coins": 400} {
			Expect(e.send(http.MethodPost, "/v1/services/guichet"+path, "{}", nil).Status).To(Equal(status), path)
		}
		for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodDelete, http.MethodOptions} {
			Expect(e.send(method, "/v1/services/guichet/coins", "", nil).Status).To(Equal(http.StatusOK), method)
		}
		Expect(e.send(http.MethodPatch, "/v1/services/guichet/coins", "", nil).Status).To(Equal(http.StatusBadRequest))
	})

	It("receives and returns large bodies", func() {
		e := newFixture()
		e.serveCall = func(c endpoint.ServiceCall) (endpoint.Response, error) {
			return endpoint.Response{Status: http.StatusOK, Body: c.Body, ContentLength: int64(len(c.Body))}, nil
		}
		body := strings.Repeat("tooth fairy ", 250_000)
		Expect(e.send(http.MethodPut, "/v1/services/guichet/letter", body, nil).Body).To(Equal(body))
	})

	It("is reported as not run only if the call did not start", func() {
		for _, c := range []struct {
			err     error
			outcome fleet.Outcome
		}{
			{&endpoint.NotStartedError{Cause: errBroken}, fleet.OutcomeNotRun},
			{&endpoint.NotFinishedError{Cause: errBroken}, fleet.OutcomeUnknown},
		} {
			e := newFixture()
			e.serveCall = func(endpoint.ServiceCall) (endpoint.Response, error) { return endpoint.Response{}, c.err }
			r := e.send(http.MethodPost, "/v1/services/guichet/coins", "{}", map[string]string{"Idempotency-Key": "k"})
			Expect(r.outcome()).To(Equal(c.outcome), r.Body)
			Expect(r.Body).To(ContainSubstring("/v1/requests/k"))
		}
	})
})
