package command_test

import (
	"net"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/command"
)

// mistake is a command line that fails, with the expected exit code and message.
type mistake struct {
	program func() command.Program
	// args may contain ADDRESS, TOKEN and FREE, which are replaced, and file names
	// after @, which are placed in the folder of the test.
	args    string
	code    int
	message string
}

// badFiles are the files that the mistakes name, with their content.
var badFiles = map[string]string{
	"broken.yaml": "pools: [\n  - name: x\n",
	"wrong.yaml":  "defaults:\n  dedline: 30s\npools: []\n",
	"empty":       "",
	"bad-token":   "not the token",
}

var _ = DescribeTable("A mistake gives a specific message and its exit code", func(m mistake) {
	GinkgoT().Setenv(command.AddressVariable, "")
	GinkgoT().Setenv(command.TokenVariable, "")
	GinkgoT().Setenv(command.KeyVariable, "")
	dir := GinkgoT().TempDir()
	for name, content := range badFiles {
		Expect(os.WriteFile(filepath.Join(dir, name), []byte(content), 0o600)).To(Succeed())
	}
	settings := strings.NewReplacer("ADDRESS", strings.TrimPrefix(addresses.Callers, "http://"), "TOKEN", tokenFile).Replace(portInUseSettings)
	Expect(os.WriteFile(filepath.Join(dir, "taken.yaml"), []byte(settings), 0o600)).To(Succeed())
	line := strings.NewReplacer("ADDRESS", addresses.Operators, "TOKEN", tokenFile, "FREE", freeAddress(), "@", dir+"/").Replace(m.args)
	r := run(m.program(), strings.Fields(line)...)
	Expect(r.Code).To(Equal(m.code), r.Err)
	Expect(r.Err).To(ContainSubstring(m.message))
	Expect(r.Err).NotTo(ContainSubstring("goroutine"))
	Expect(r.Out).To(BeEmpty())
},
	Entry("unknown command", mistake{command.ControlProgram, "stats", 2, `no command "stats"; see skylarkctl help`}),
	Entry("group without a subcommand", mistake{command.ControlProgram, "config", 2, `no command "config"`}),
	Entry("unknown flag", mistake{command.ControlProgram, "status --jsn", 2, "unknown flag --jsn"}),
	Entry("flag without value", mistake{command.ControlProgram, "status --address", 2, "flag --address requires a value"}),
	Entry("value of the wrong type", mistake{command.ControlProgram, "config wait 3 --timeout soon", 2, "soon"}),
	Entry("missing argument", mistake{command.ControlProgram, "order dezerter-sellers", 2, "expected KEY"}),
	Entry("unexpected argument", mistake{command.ControlProgram, "status now", 2, `unexpected argument "now"`}),
	Entry("unknown shell", mistake{command.ControlProgram, "completion tcsh", 2, "expected bash, zsh or fish"}),
	Entry("no node named", mistake{command.ControlProgram, "status --token-file TOKEN", 2, "no node is named"}),
	Entry("invalid address", mistake{command.ControlProgram, "status --token-file TOKEN --address ftp://x", 2, "is not an address"}),
	Entry("no token given", mistake{command.ControlProgram, "status --address ADDRESS", 2, "no token is given"}),
	Entry("token file absent", mistake{command.ControlProgram, "status --address ADDRESS --token-file @none", 2, "no such file"}),
	Entry("token file empty", mistake{command.ControlProgram, "status --address ADDRESS --token-file @empty", 2, "is empty"}),
	Entry("wrong token", mistake{command.ControlProgram, "status --address ADDRESS --token-file @bad-token", 2, "rejects the operators' token"}),
	Entry("node not reachable", mistake{command.ControlProgram, "status --address FREE --token-file TOKEN", 5, "does not answer"}),
	Entry("invalid file on publish to an unreachable node", mistake{command.ControlProgram, "config publish @wrong.yaml --base 1 --author a --message m --address FREE --token-file TOKEN", 2, "dedline"}),
	Entry("configuration file absent", mistake{command.ControlProgram, "config check @none.yaml", 2, "no such file"}),
	Entry("broken YAML", mistake{command.ControlProgram, "config check @broken.yaml", 2, "broken.yaml:"}),
	Entry("unknown key", mistake{command.ControlProgram, "config check @wrong.yaml", 2, "wrong.yaml:2: defaults.dedline: unknown key"}),
	Entry("no message", mistake{command.ControlProgram, "config publish @wrong.yaml --author a", 2, "requires --message and --author"}),
	Entry("unknown account", mistake{command.ControlProgram, "config show --why nobody loom-servers --address ADDRESS --token-file TOKEN", 2, `no account "nobody"`}),
	Entry("not a revision", mistake{command.ControlProgram, "config wait latest --address ADDRESS --token-file TOKEN", 2, "is not a revision"}),
	Entry("load without an address", mistake{command.ControlProgram, "load --model m", 2, "no callers' address is named"}),
	Entry("load not on loopback", mistake{command.ControlProgram, "load --callers http://10.0.0.1:80 --model m", 2, "give --anywhere"}),
	Entry("load without a key", mistake{command.ControlProgram, "load --callers http://127.0.0.1:80 --model m", 2, "SKYLARKCTL_KEY is not set"}),
	Entry("load without a model", mistake{command.ControlProgram, "load --callers http://127.0.0.1:80", 2, "chat requires --model"}),
	Entry("load too large", mistake{command.ControlProgram, "load --rate 1e9", 2, "more than 1000000 requests"}),
	Entry("settings file absent", mistake{command.DaemonProgram, "run --settings @none.yaml", 2, "no such file"}),
	Entry("settings broken", mistake{command.DaemonProgram, "check --settings @broken.yaml", 2, "broken.yaml:"}),
	Entry("port in use", mistake{command.DaemonProgram, "run --settings @taken.yaml", 1, "address already in use"}),
	Entry("unknown command of the daemon", mistake{command.DaemonProgram, "start", 2, `no command "start"`}),
)

// portInUseSettings are settings whose callers' address is in use.
const portInUseSettings = `node: entry-9
datacentre: tb-vake
callers: {address: "ADDRESS"}
operators: {address: "127.0.0.1:0", token: {file: "TOKEN"}}
platform: {log: "http://127.0.0.1:9", list: "http://127.0.0.1:9", cloud: "http://127.0.0.1:9"}
`

// freeAddress returns an address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	ExpectWithOffset(1, l.Close()).To(Succeed())
	return l.Addr().String()
}
