package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"

	"github.com/skylarkloom/skylarkloom/pkg/event"
	"github.com/skylarkloom/skylarkloom/pkg/settings"
	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

// problems parses a fixture and returns its problems, one per line.
func problems(name string) string {
	data, err := os.ReadFile(filepath.Join("_fixtures", name+".yaml"))
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	_, err = settings.Parse(name+".yaml", data)
	if err == nil {
		return ""
	}
	var strictErr *strict.Error
	ExpectWithOffset(1, errors.As(err, &strictErr)).To(BeTrue())
	return err.Error() + "\n"
}

var _ = Describe("A settings file", func() {
	BeforeEach(func() {
		GinkgoT().Setenv("TEST_TOKEN", "a-secret-of-the-test")
		Expect(os.Unsetenv("TEST_UNSET")).To(Succeed())
	})

	DescribeTable("has all problems reported together, as in the golden file", func(name string) {
		golden, err := os.ReadFile(filepath.Join("_fixtures", name+".txt"))
		Expect(err).NotTo(HaveOccurred())
		Expect(problems(name)).To(Equal(string(golden)))
	},
		Entry(nil, "many"), Entry(nil, "empty"), Entry(nil, "broken"), Entry(nil, "twice"), Entry(nil, "list"), Entry(nil, "secret"),
	)

	It("has no secret in the reported problems", func() {
		for _, name := range []string{"many", "secret"} {
			Expect(problems(name)).NotTo(ContainSubstring("a-secret-of-the-test"))
			Expect(problems(name)).NotTo(ContainSubstring("hunter2"))
		}
	})

	It("without problems is read", func() {
		s, err := settings.Load("_fixtures/good.yaml")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Orders.Partitions).To(Equal(settings.DefaultPartitions))
		Expect(s.Log.Levels).To(HaveKeyWithValue(event.SubsystemOrder, zapcore.DebugLevel))
		Expect(s.Operators.Token.Read()).To(Equal("a-secret-of-the-test"))
	})

	It("that does not exist is reported by its path", func() {
		_, err := settings.Load("_fixtures/none.yaml")
		Expect(err).To(MatchError(ContainSubstring("_fixtures/none.yaml: open")))
	})

	DescribeTable("has unusable TLS files reported", func(certificate, want string) {
		dir := GinkgoT().TempDir()
		file := filepath.Join(dir, "node.pem")
		if certificate != "" {
			Expect(os.WriteFile(file, []byte(certificate), 0o600)).To(Succeed())
		}
		good, err := os.ReadFile("_fixtures/good.yaml")
		Expect(err).NotTo(HaveOccurred())
		text := strings.Replace(string(good), "10.0.0.1:8080", "10.0.0.1:8080\n  tls: {certificate: "+file+", key: "+file+"}", 1)
		_, err = settings.Parse("s.yaml", []byte(text))
		Expect(err).To(MatchError(And(HavePrefix("s.yaml:5: callers.tls: "), ContainSubstring(want))))
	},
		Entry("absent", "", "no such file"),
		Entry("not PEM", "hello", "failed to find any PEM data"),
	)
})

var _ = Describe("A secret", func() {
	It("is read from a file, without surrounding white space", func() {
		file := filepath.Join(GinkgoT().TempDir(), "secret")
		Expect(os.WriteFile(file, []byte(" token\n"), 0o600)).To(Succeed())
		Expect(settings.Secret{File: file}.Read()).To(Equal("token"))
		Expect(os.WriteFile(file, []byte("\n"), 0o600)).To(Succeed())
		_, err := settings.Secret{File: file}.Read()
		Expect(err).To(MatchError(ContainSubstring("is empty")))
	})

	It("is empty if none is configured", func() {
		Expect(settings.Secret{}.Read()).To(BeEmpty())
	})
})

func FuzzParse(f *testing.F) {
	files, err := filepath.Glob("_fixtures/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("s.yaml", data)
		var strictErr *strict.Error
		if err != nil && (!errors.As(err, &strictErr) || len(strictErr.Problems) == 0) {
			t.Fatalf("the error is not a list of problems: %v", err)
		}
	})
}
