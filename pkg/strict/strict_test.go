package strict_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap/zapcore"
	"go.yaml.in/yaml/v3"
	"pgregory.net/rapid"

	"github.com/skylarkloom/skylarkloom/pkg/strict"
)

func TestStrict(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "strict")
}

// sample has a field of each type that configuration files use.
type sample struct {
	Name    string                   `yaml:"name"`
	Count   int                      `yaml:"count,omitempty"`
	Offset  uint64                   `yaml:"offset,omitempty"`
	Share   float64                  `yaml:"share,omitempty"`
	Fenced  bool                     `yaml:"fenced,omitempty"`
	Wait    time.Duration            `yaml:"wait,omitempty"`
	Until   time.Time                `yaml:"until,omitempty"`
	Levels  map[string]zapcore.Level `yaml:"levels,omitempty"`
	Words   []string                 `yaml:"words,omitempty"`
	Inner   inner                    `yaml:"inner,omitempty"`
	Several []inner                  `yaml:"several,omitempty"`
}

type inner struct {
	Min int `yaml:"min,omitempty"`
	Max int `yaml:"max,omitempty"`
}

func decode(text string) (s sample, problems string) {
	c := strict.Decode("f", []byte(text), &s)
	c.Require(s.Name != "", strict.Path("name"), "a name is needed")
	if err := c.Err(); err != nil {
		return s, err.Error()
	}
	return s, ""
}

// decodeWithLibrary decodes with the decoder of the YAML library.
func decodeWithLibrary(text string) (s sample, err error) {
	d := yaml.NewDecoder(bytes.NewReader([]byte(text)))
	d.KnownFields(true)
	return s, d.Decode(&s)
}

var _ = Describe("Decoding", func() {
	DescribeTable("reports the mistake with its line and without the value", func(text, want string) {
		_, problems := decode(text)
		Expect(problems).To(Equal(want))
	},
		Entry("unknown key", "name: x\nword: y", "f:2: word: unknown key; expected one of name, count, offset, share, fenced, wait, until, levels, words, inner, several"),
		Entry("duplicate key", "name: x\nname: y", "f:2: name: duplicate key"),
		Entry("duplicate key in a map", "name: x\nlevels: {a: info, a: info}", "f:2: levels.a: duplicate key"),
		Entry("text for an integer", "name: x\ncount: secret", "f:2: count: expected a whole number"),
		Entry("fraction for an integer", "name: x\ncount: 1.5", "f:2: count: expected a whole number"),
		Entry("null in a list", "name: x\nwords:\n  - a\n  -", "f:4: words[1]: expected text"),
		Entry("negative number for an unsigned integer", "name: x\noffset: -1", "f:2: offset: expected a whole number"),
		Entry("number for a duration", "name: x\nwait: 30", "f:2: wait: expected a duration such as 30s"),
		Entry("text for a number", "name: x\nshare: half", "f:2: share: expected a number"),
		Entry("text for a boolean", "name: x\nfenced: maybe", "f:2: fenced: expected true or false"),
		Entry("text for a time", "name: x\nuntil: tomorrow", "f:2: until: expected a time such as 2026-05-01T06:00:00Z"),
		Entry("unknown log level", "name: x\nlevels: {a: loud}", "f:2: levels.a: expected a level"),
		Entry("list for text", "name: [secret]", "f:1: name: expected text"),
		Entry("text for a list", "name: x\nwords: secret", "f:2: words: expected a list"),
		Entry("text for a mapping", "name: x\ninner: secret", "f:2: inner: expected keys and values"),
		Entry("list item", "name: x\nseveral:\n  - {min: 1}\n  - {min: secret, mox: 2}", "f:4: several[1].min: expected a whole number\nf:4: several[1].mox: unknown key; expected one of min, max"),
		Entry("required value missing", "count: 1", "f:1: name: a name is needed"),
		Entry("syntax error", "name: x\ncount: [1", "f:1: did not find expected ',' or ']'"),
		Entry("empty file", "# nothing\n", "f: the file is empty"),
		Entry("list for the document", "- name: x", "f:1: expected keys and values"),
		Entry("two documents", "name: x\n---\nname: y", "f: expected one YAML document"),
		Entry("merge of text", "name: x\ninner: {<<: secret}", "f:2: inner.<<: expected keys and values to merge, without a cycle"),
		Entry("merge of a mapping into itself", "name: x\nseveral: [&a {<<: *a}]", "f:2: several[0].<<: expected keys and values to merge, without a cycle"),
		Entry("cyclic merge", "name: x\nseveral: [&a {<<: {<<: *a}}]", "f:2: several[0].<<: expected keys and values to merge, without a cycle"),
	)

	It("reports all mistakes sorted by line", func() {
		_, problems := decode("count: x\nwait: y\nnone: 1\n")
		Expect(problems).To(HavePrefix("f:1: count: expected a whole number\nf:1: name: a name is needed\nf:2: wait: "))
		Expect(problems).To(ContainSubstring("\nf:3: none: unknown key"))
	})

	It("stops at aliases that expand without bound", func() {
		text := "name: x\nseveral:\n  - &a0 {min: 1}\n"
		for i := 1; i < 15; i++ {
			text += fmt.Sprintf("  - &a%d {<<: [%s]}\n", i, strings.TrimSuffix(strings.Repeat(fmt.Sprintf("*a%d, ", i-1), 8), ", "))
		}
		_, problems := decode(text)
		Expect(problems).To(ContainSubstring("the file is too large"))
	})

	DescribeTable("gives the same result as the library for a valid document", func(text string) {
		want, err := decodeWithLibrary(text)
		Expect(err).NotTo(HaveOccurred())
		got, problems := decode(text)
		Expect(problems).To(BeEmpty())
		Expect(got).To(Equal(want))
	},
		Entry("numbers for text", "name: 7\nwords: [1, true]\ncount: 1e3"),
		Entry("nulls", "name: x\ninner:\nseveral: ~\nwait: null"),
		Entry("aliases", "name: &n x\nseveral: [&a {min: 1}, *a]\nwords: [*n]"),
		Entry("merged keys", "name: x\nseveral: [&a {min: 1, max: 2}, {<<: *a, max: 3}, {max: 4, <<: [*a, {min: 9}]}]"),
	)

	It("decodes what the library encoded", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			in := sample{
				Name:   rapid.StringMatching(`[ -~]{1,9}`).Draw(t, "name"),
				Count:  rapid.Int().Draw(t, "count"),
				Offset: rapid.Uint64().Draw(t, "offset"),
				Share:  rapid.Float64Range(-1e9, 1e9).Draw(t, "share"),
				Fenced: rapid.Bool().Draw(t, "fenced"),
				Wait:   time.Duration(rapid.Int64().Draw(t, "wait")),
				Levels: rapid.MapOf(rapid.StringMatching(`[a-z]{1,4}`), rapid.SampledFrom([]zapcore.Level{zapcore.DebugLevel, zapcore.ErrorLevel})).Draw(t, "levels"),
				Words:  rapid.SliceOf(rapid.StringMatching(`[ -~]{0,6}`)).Draw(t, "words"),
				Inner:  inner{Min: rapid.Int().Draw(t, "min")},
			}
			text, err := yaml.Marshal(in)
			if err != nil {
				t.Fatal(err)
			}
			want, err := decodeWithLibrary(string(text))
			if err != nil {
				t.Fatal(err)
			}
			got, problems := decode(string(text))
			if problems != "" {
				t.Fatalf("%s\n%s", problems, text)
			}
			Expect(got).To(Equal(want))
		})
	})
})

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: x\nseveral: [&a {min: 1}, {<<: *a}]\nwords: [a, b]\n"))
	f.Add([]byte("a: &a [*a]\n<<: *a\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		got, problems := decode(string(data))
		want, err := decodeWithLibrary(string(data))
		if problems == "" && err == nil && !sameYAML(t, got, want) {
			t.Fatalf("got %+v, want %+v", got, want)
		}
	})
}

func sameYAML(t *testing.T, a, b sample) bool {
	first, err := yaml.Marshal(a)
	if err != nil {
		t.Fatal(err)
	}
	second, err := yaml.Marshal(b)
	if err != nil {
		t.Fatal(err)
	}
	return bytes.Equal(first, second)
}
