//go:build processes

// Package processes_test runs the daemon as separate processes over the
// stand-ins and breaks them: kills, freezes, outages of the log. Run it with
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
