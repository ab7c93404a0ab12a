package peer_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suiteT is the test in which the synctest bubbles run.
var suiteT *testing.T

func TestPeer(t *testing.T) {
	suiteT = t
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}
