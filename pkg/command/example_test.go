package command_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/fleet"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
)

// deployment is the expected content of one of the example deployments.
type deployment struct {
	dir         string
	dataCentres []fleet.DataCentreName
	model       fleet.PoolName
	service     fleet.PoolName
	// weightsMatch reports whether the routing weights favour what the organisation
	// is measured by: latency in Tbilisi, few recomputed tokens in Tunis.
	weightsMatch func(p fleet.Policy) bool
}

var _ = DescribeTable("The example deployments pass the checks of both programs", func(d deployment) {
	dir := filepath.Join("..", "..", "examples", d.dir)
	for _, v := range []string{"OPERATORS", "PEERS", "PLATFORM"} {
		GinkgoT().Setenv("SKYLARKLOOM_"+v+"_TOKEN", "a-token")
	}
	for _, c := range d.dataCentres {
		file := filepath.Join(dir, string(c)+".yaml")
		r := run(command.DaemonProgram(), "check", "--settings", file)
		Expect(r.Code).To(Equal(command.ExitOK), r.Err)
		s, err := settings.Load(file)
		Expect(err).NotTo(HaveOccurred())
		Expect(s.DataCentre).To(Equal(c))
		Expect(s.Peers.Nodes).To(HaveLen(len(d.dataCentres) - 1))
	}
	file := filepath.Join(dir, "fleet.yaml")
	r := run(command.ControlProgram(), "config", "check", file)
	Expect(r.Code).To(Equal(command.ExitOK), r.Err)
	data, err := os.ReadFile(file)
	Expect(err).NotTo(HaveOccurred())
	doc, err := fleet.ParseDocument(file, data)
	Expect(err).NotTo(HaveOccurred())
	Expect(doc.Accounts).To(HaveLen(5))
	Expect(doc.Exceptions).To(HaveLen(1))
	for name, kind := range map[fleet.PoolName]fleet.Kind{d.model: fleet.KindModel, d.service: fleet.KindService} {
		p, ok := doc.Pool(name)
		Expect(ok).To(BeTrue())
		Expect(p.Kind).To(Equal(kind))
		served := map[fleet.DataCentreName]bool{}
		for _, o := range p.Offers {
			served[o.DataCentre] = true
		}
		Expect(served).To(HaveLen(len(d.dataCentres)))
		Expect(d.weightsMatch(doc.Policy(doc.Accounts[0].Name, name, time.Now()))).To(BeTrue())
	}
},
	Entry("Tbilisi", deployment{"tbilisi", []fleet.DataCentreName{"tb-dezerter", "tb-didube", "tb-vake"}, "loom-servers", "cart-desk", func(p fleet.Policy) bool {
		return p.LatencyWeight.Value > p.RecomputeWeight.Value
	}}),
	Entry("Tunis", deployment{"tunis", []fleet.DataCentreName{"tunis-a", "tunis-b", "tunis-c"}, "plume", "guichet", func(p fleet.Policy) bool {
		return p.RecomputeWeight.Value > p.LatencyWeight.Value
	}}),
)
