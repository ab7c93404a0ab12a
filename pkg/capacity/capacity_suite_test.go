package capacity_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCapacity(t *testing.T) {
	RegisterFailHandler(Fail)
	if err := flag.Set("rapid.seed", "1"); err != nil {
		t.Fatal(err)
	}
	RunSpecs(t, "capacity")
}
