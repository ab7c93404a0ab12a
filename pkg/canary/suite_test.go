package canary_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCanary(t *testing.T) {
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	// A check plays half a minute of a fleet.
	if f := flag.Lookup("rapid.checks"); f != nil && f.Value.String() == f.DefValue {
		_ = flag.Set("rapid.checks", "40")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "canary")
}
