package trial_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

var _ = Describe("A new version of a model", func() {
	It("is rolled out to every engine after it is published, while requests succeed", func(ctx context.Context) {
		t := &trial.Trial{}
		Expect(t.Start(ctx)).To(Succeed())
		DeferCleanup(func(ctx context.Context) { Expect(t.Stop(ctx)).To(Succeed()) })
		a, err := t.Open()
		Expect(err).NotTo(HaveOccurred())
		document := bytes.Replace(trial.Document(), []byte("    model: loom\n"), []byte("    model: loom\n    version: \"2\"\n"), 1)
		body, err := json.Marshal(operate.Publish{Base: 1, Document: string(document), Author: "test", Message: "version 2"})
		Expect(err).NotTo(HaveOccurred())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.Operators+operate.ConfigPath, bytes.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+a.Token)
		res, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(res.Body.Close()).To(Succeed())
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Eventually(func() (versions []string) {
			status, err := sendChat(ctx, a.Callers, "which gate opens first")
			Expect(err).NotTo(HaveOccurred())
			Expect(status).To(Equal(http.StatusOK))
			for _, e := range t.Cloud.Engines(trial.PoolModel) {
				versions = append(versions, e.Version())
			}
			return versions
		}).WithContext(ctx).WithTimeout(100 * time.Second).Should(HaveEach("2"))
	}, NodeTimeout(2*time.Minute))
})
