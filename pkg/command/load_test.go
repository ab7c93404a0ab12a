package command_test

import (
	"encoding/json"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/api/operate"
	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/load"
)

var _ = It("skylarkctl load measures a mix of chat requests and orders", func() {
	plot := filepath.Join(GinkgoT().TempDir(), "latency.svg")
	key := writeFile("key", addresses.Keys["dezerter-sellers"])
	r := control("load", "--callers", addresses.Callers, "--key-file", key, "--model", "loom-servers", "--service", "cart-desk",
		"--orders", "0.4", "--rate", "20", "--duration", "1500ms", "--seed", "5", "--json", "--plot", plot)
	Expect(r.Code).To(Equal(command.ExitOK), r.Err)
	var s load.Summary
	Expect(json.Unmarshal([]byte(r.Out), &s)).To(Succeed())
	planned := len(load.Plan{Seed: 5, Rate: 20, Duration: 1500e6, OrderShare: .4}.Arrivals(""))
	Expect(s.Requests).To(Equal(planned))
	Expect(s.Outcomes[load.KindChat][fleet.OutcomeDone] + s.Outcomes[load.KindOrder][fleet.OutcomeDone]).To(Equal(planned))
	Expect(s.Generated).To(BeNumerically(">", 0))
	Expect(s.Cost).NotTo(BeNil())
	var bill operate.Bill
	Expect(json.Unmarshal([]byte(control("bill", "--json").Out), &bill)).To(Succeed())
	chargedRequests := 0
	for _, l := range bill.Lines {
		if l.Account == "dezerter-sellers" {
			chargedRequests += l.Requests
		}
	}
	Expect(chargedRequests).To(BeNumerically(">=", planned), "load waits until its charges are in the bill")
	Expect(os.ReadFile(plot)).To(ContainSubstring("<svg"))
})
