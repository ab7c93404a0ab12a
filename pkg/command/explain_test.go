package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/command"
)

var _ = DescribeTable("skylarkctl explain names the cause of a failed request",
	func(request, golden string, code int) {
		var out, errs bytes.Buffer
		files := filepath.Join("_fixtures", "node1.log") + "," + filepath.Join("_fixtures", "node2.log")
		got := command.ControlProgram().Run(context.Background(), []string{"explain", request, "--files", files}, command.Streams{Out: &out, Err: &errs})
		Expect(got).To(Equal(code), errs.String())
		want, err := os.ReadFile(filepath.Join("_fixtures", golden))
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String() + errs.String()).To(Equal(string(want)))
	},
	Entry("refused while overloaded", "a1", "explain-overload.txt", command.ExitOK),
	Entry("aborted by a failed endpoint", "a2", "explain-cut.txt", command.ExitOK),
	Entry("refused because of a stale configuration", "a3", "explain-stale.txt", command.ExitOK),
	Entry("missing from the logs", "a9", "explain-none.txt", command.ExitFailed),
)
