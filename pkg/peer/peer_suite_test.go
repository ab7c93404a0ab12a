package peer_test

import (
	"flag"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that bubbles of virtual time run in.
var suite *testing.T

func TestPeer(t *testing.T) {
	suite = t
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}
