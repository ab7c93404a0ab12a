package command_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/edge"
	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/standin"
)

// sendOrder sends an order and returns the status and outcome of its response.
func sendOrder(key string) (status int, outcome string) {
	req, err := http.NewRequest(http.MethodPost, addresses.Callers+"/v1/services/cart-desk/reservations", strings.NewReader(`{}`))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+addresses.Keys["dezerter-sellers"])
	req.Header.Set(edge.IdempotencyKeyHeader, key)
	res, err := http.DefaultClient.Do(req)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, res.Body.Close()).To(Succeed())
	return res.StatusCode, res.Header.Get(edge.OutcomeHeader)
}

// degraded returns what the first node reports as degraded.
func degraded() (list []string) {
	var s operate.Status
	ExpectWithOffset(1, json.Unmarshal([]byte(control("status", "--json").Out), &s)).To(Succeed())
	for _, d := range s.Degraded {
		list = append(list, d.Problem)
	}
	return list
}

var _ = It("a log outage refuses orders and fails publications but serves chat, until the log is up again", Serial, func() {
	fleetTrial.Log.Set(standin.StateDown)
	DeferCleanup(func() { fleetTrial.Log.Set(standin.StateUp) })
	Eventually(degraded).WithTimeout(time.Minute).Should(ContainElement("stream config: the log does not answer reads"))
	status, outcome := sendOrder("outage-1")
	Expect(status).To(Equal(http.StatusServiceUnavailable))
	Expect(outcome).To(Equal("not-run"))
	sendChat()
	r := control("config", "publish", writeFile("fleet.yaml", withDeadline(40)), "--author", "nino", "--message", "in an outage")
	Expect(r.Code).To(BeElementOf(command.ExitUnknown, command.ExitUnavailable), r.Err)
	Expect(control("config", "show").Out).NotTo(ContainSubstring("deadline: 40s"))
	fleetTrial.Log.Set(standin.StateUp)
	Eventually(degraded).WithTimeout(time.Minute).Should(BeEmpty())
	Eventually(func() int { status, _ := sendOrder("outage-2"); return status }).WithTimeout(time.Minute).Should(Equal(http.StatusOK))
	Expect(fleetTrial.Runs.Counts()).NotTo(HaveKey(fleet.Key("outage-1")))
	Expect(fleetTrial.Runs.Counts()).To(HaveKeyWithValue(fleet.Key("outage-2"), 1))
})
