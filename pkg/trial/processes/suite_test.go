//go:build processes

// Package processes_test runs daemons as separate processes against the stand-ins
// and injects faults: kills, freezes, reclaims and outages of the log. Run it with
// 'make processes'.
package processes_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestProcesses(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "processes")
}
