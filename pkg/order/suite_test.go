package order_test

import (
	"flag"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; bubbles of virtual time start from it.
var suite *testing.T

// Checks and seed of the fuzz where FUZZ_CHECKS and FUZZ_SEED are unset.
const (
	fuzzChecks = "300"
	fuzzSeed   = "7"
	fuzzShrink = "10s"
)

func TestOrder(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	set(t, "rapid.checks", "FUZZ_CHECKS", fuzzChecks)
	set(t, "rapid.seed", "FUZZ_SEED", fuzzSeed)
	set(t, "rapid.shrinktime", "FUZZ_SHRINK", fuzzShrink)
	set(t, "rapid.nofailfile", "", "true")
	RunSpecs(t, "order")
}

func set(t *testing.T, name, variable, fallback string) {
	value := fallback
	if v := os.Getenv(variable); v != "" {
		value = v
	}
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
