package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/placement"
)

var _ = DescribeTable("A first event is awaited",
	func(passed, predicted, elsewhere, expected int) {
		milliseconds := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
		c := placement.Choice{TimeToFirstEvent: milliseconds(predicted), Elsewhere: milliseconds(elsewhere)}
		Expect(stallTimeout(600*time.Millisecond, milliseconds(passed), c)).To(Equal(milliseconds(expected)))
	},
	Entry("for half the objective at least, among equal engines", 0, 80, 0, 300),
	Entry("for three times the predicted time", 0, 150, 0, 450),
	Entry("for 1.6 times the objective at most", 0, 900, 0, 960),
	Entry("until another engine has to start, among uneven ones", 0, 110, 100, 450),
	Entry("less by what has passed since the arrival, among uneven ones", 100, 80, 100, 350),
	Entry("for half the objective after the objective has passed", 900, 80, 100, 300),
	Entry("no shorter where all engines are slow", 0, 80, 500, 300),
)
