package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

var _ = DescribeTable("A first event is awaited",
	func(predicted, elsewhere, expected time.Duration) {
		c := placement.Choice{TimeToFirstEvent: predicted * time.Millisecond, Elsewhere: elsewhere * time.Millisecond}
		Expect(stallTimeout(600*time.Millisecond, c)).To(Equal(expected * time.Millisecond))
	},
	Entry("for half the objective at least, among equal engines", time.Duration(80), time.Duration(0), time.Duration(300)),
	Entry("for three times the predicted time", time.Duration(150), time.Duration(0), time.Duration(450)),
	Entry("for 1.6 times the objective at most", time.Duration(900), time.Duration(0), time.Duration(960)),
	Entry("until another engine has to start, among uneven ones", time.Duration(110), time.Duration(100), time.Duration(450)),
	Entry("no shorter where all engines are slow", time.Duration(80), time.Duration(500), time.Duration(300)),
)
