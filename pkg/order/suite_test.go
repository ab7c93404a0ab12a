package order_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test that runs the specs; synctest bubbles are started from it.
var suiteT *testing.T

// Defaults of FUZZ_CHECKS, FUZZ_SEED and FUZZ_SHRINK.
const (
	fuzzChecks = "300"
	fuzzSeed   = "7"
	fuzzShrink = "10s"
)

func TestOrder(t *testing.T) {
	suiteT = t
	RegisterFailHandler(Fail)
	setFlag(t, "rapid.checks", "FUZZ_CHECKS", fuzzChecks)
	setFlag(t, "rapid.seed", "FUZZ_SEED", fuzzSeed)
	setFlag(t, "rapid.shrinktime", "FUZZ_SHRINK", fuzzShrink)
	setFlag(t, "rapid.nofailfile", "", "true")
	RunSpecs(t, "order")
}

func setFlag(t *testing.T, name, variable, fallback string) {
	value := fallback
	if v := os.Getenv(variable); v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
