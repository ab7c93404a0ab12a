package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/config"
	"github.com/skylarkloom/skylarkloom/pkg/operator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "operator")
}

var _ = Describe("The operators' interface", func() {
	var handler *operator.Handler

	BeforeEach(func() {
		handler = &operator.Handler{
			Token:       "right",
			ConfigStore: &config.Store{},
			Ready:       func() error { return nil },
			Status:      func() operate.Status { return operate.Status{Node: "entry-1"} },
		}
	})

	get := func(path, token string) int {
		r := httptest.NewRequest(http.MethodGet, path, nil)
		r.Header.Set("Authorization", token)
		w := httptest.NewRecorder()
		handler.Routes().ServeHTTP(w, r)
		return w.Code
	}

	DescribeTable("requires the token", func(path string) {
		for _, token := range []string{"", "Bearer ", "Bearer wrong", "Bearer righ", "Bearer rightt", "right "} {
			Expect(get(path, token)).To(Equal(http.StatusUnauthorized), token)
		}
	},
		Entry(nil, operate.ConfigPath), Entry(nil, operate.HistoryPath), Entry(nil, operate.StatusPath), Entry(nil, operate.BillPath),
		Entry(nil, operate.BurnPath), Entry(nil, operate.SuspectPath), Entry(nil, operate.ChangePath+"/x"), Entry(nil, operate.OrderPath+"/a/k"), Entry(nil, "/metrics"),
	)

	It("refuses every token if none is configured", func() {
		handler.Token = ""
		Expect(get(operate.StatusPath, "Bearer ")).To(Equal(http.StatusUnauthorized))
	})

	It("serves health checks without a token", func() {
		Expect(get("/livez", "")).To(Equal(http.StatusOK))
		Expect(get("/readyz", "")).To(Equal(http.StatusOK))
		handler.Ready = func() error { return errors.New("no configuration") }
		Expect(get("/readyz", "")).To(Equal(http.StatusServiceUnavailable))
	})

	It("reports a change as pending while the log has no record of it", func(ctx context.Context) {
		server := httptest.NewServer(handler.Routes())
		DeferCleanup(server.Close)
		client := &operator.Client{Address: server.URL, Token: "right"}
		o, err := client.Outcome(ctx, [16]byte{1})
		Expect(err).NotTo(HaveOccurred())
		Expect(o.State).To(Equal(operate.ChangePending))
		_, err = client.Bill(ctx)
		var respErr *operator.ResponseError
		Expect(errors.As(err, &respErr)).To(BeTrue())
		Expect(respErr.Status).To(Equal(http.StatusNotFound))
	})
})

var _ = Describe("DegradationTracker", func() {
	It("records since when each problem has lasted", func() {
		var d operator.DegradationTracker
		start := time.Unix(1000, 0)
		began, ended := d.Observe(start, []string{"a"})
		Expect(began).To(ConsistOf("a"))
		Expect(ended).To(BeEmpty())
		began, ended = d.Observe(start.Add(time.Second), []string{"b", "a"})
		Expect(began).To(ConsistOf("b"))
		Expect(ended).To(BeEmpty())
		Expect(d.List()).To(Equal([]operate.Degraded{{Problem: "a", Since: start}, {Problem: "b", Since: start.Add(time.Second)}}))
		_, ended = d.Observe(start.Add(2*time.Second), nil)
		Expect(ended).To(ConsistOf("a", "b"))
		Expect(d.List()).To(BeEmpty())
	})
})
