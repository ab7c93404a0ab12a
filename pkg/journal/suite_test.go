package journal_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// suite is the test that runs the specs; bubbles of virtual time start from it.
var suite *testing.T

func TestJournal(t *testing.T) {
	suite = t
	RegisterFailHandler(Fail)
	RunSpecs(t, "journal")
}
