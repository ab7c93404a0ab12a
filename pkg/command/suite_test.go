package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/command"
	"github.com/skylarkloom/skylarkloom/pkg/trial"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "command")
}

var (
	fleetTrial *trial.Trial
	addresses  trial.Addresses
	tokenFile  string
)

var _ = BeforeSuite(func() {
	fleetTrial = &trial.Trial{}
	Expect(fleetTrial.Start(context.Background())).To(Succeed())
	DeferCleanup(func(ctx context.Context) { Expect(fleetTrial.Stop(ctx)).To(Succeed()) })
	var err error
	addresses, err = fleetTrial.Open()
	Expect(err).NotTo(HaveOccurred())
	tokenFile = filepath.Join(GinkgoT().TempDir(), "token")
	Expect(os.WriteFile(tokenFile, []byte(fleetTrial.Token), 0o600)).To(Succeed())
})

// result is the exit code and the output of a command.
type result struct {
	Code int
	Out  string
	Err  string
}

// run runs a program in the process of the test.
func run(program command.Program, args ...string) result {
	var stdout, stderr bytes.Buffer
	code := program.Run(context.Background(), args, command.Streams{Out: &stdout, Err: &stderr})
	return result{Code: code, Out: stdout.String(), Err: stderr.String()}
}

// control runs skylarkctl against the first node of the trial.
func control(args ...string) result {
	args = append(args, "--address", addresses.Operators, "--token-file", tokenFile)
	return run(command.ControlProgram(), args...)
}

func writeFile(name, content string) string {
	file := filepath.Join(GinkgoT().TempDir(), name)
	ExpectWithOffset(1, os.WriteFile(file, []byte(content), 0o600)).To(Succeed())
	return file
}
