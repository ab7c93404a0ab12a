package suspect_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuspect(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "suspect")
}
