package gateway

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestGateway(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "gateway")
}

var _ = ginkgo.Describe("Splitting a stream into events", func() {
	ginkgo.It("returns only complete events, wherever the stream ends", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			var text strings.Builder
			ends := map[int]int{0: 0}
			count := rapid.IntRange(1, 8).Draw(t, "events")
			for n := range count {
				lines := rapid.SliceOfN(rapid.StringMatching(`[a-z ]{0,30}`), 0, 3).Draw(t, "lines")
				fmt.Fprintf(&text, "id: %d\n", n+1)
				for _, l := range lines {
					fmt.Fprintf(&text, "data:%s\n", l)
				}
				text.WriteString("\n")
				ends[text.Len()] = n + 1
			}
			cut := rapid.IntRange(0, text.Len()).Draw(t, "cut")
			stream := text.String()[:cut]
			events := sseReader{reader: bufio.NewReaderSize(strings.NewReader(stream), 16)}
			relayed, got := "", 0
			for {
				e, err := events.next()
				if err != nil {
					complete, atEnd := ends[cut]
					if atEnd != errors.Is(err, io.EOF) || !atEnd && !errors.Is(err, io.ErrUnexpectedEOF) {
						t.Fatalf("unexpected error %v for a stream cut at byte %d", err, cut)
					}
					if atEnd && got != complete {
						t.Fatalf("got %d of %d events", got, complete)
					}
					break
				}
				got++
				if !e.hasID || int(e.id) != got {
					t.Fatalf("event %d has id %d", got, e.id)
				}
				relayed += string(e.data)
			}
			if !strings.HasPrefix(stream, relayed) {
				t.Fatalf("returned events %q are no prefix of the stream %q", relayed, stream)
			}
		})
	})

	ginkgo.It("parses a line that exceeds the read buffer as a single line", func() {
		const buffer = 16
		full := "data:" + strings.Repeat("x", buffer-len("data:"))
		for _, line := range []string{
			full,              // the line feed is read separately
			full + "id: 9",    // the remainder looks like an id field
			full + full + "x", // the remainder looks like data
		} {
			text := "id: 1\n" + line + "\ndata:y\n\n"
			events := sseReader{reader: bufio.NewReaderSize(strings.NewReader(text+"id: 2\n\n"), buffer)}
			e, err := events.next()
			Expect(err).NotTo(HaveOccurred())
			Expect(string(e.data)).To(Equal(text))
			Expect(e.id).To(BeEquivalentTo(1))
			e, err = events.next()
			Expect(err).NotTo(HaveOccurred())
			Expect(e.id).To(BeEquivalentTo(2))
		}
	})

	ginkgo.It("fails on an event that exceeds the size limit", func() {
		events := sseReader{reader: bufio.NewReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))}
		_, err := events.next()
		Expect(err).To(MatchError(errEventTooLong))
	})
})
