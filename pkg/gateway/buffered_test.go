package gateway

import (
	"io"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = ginkgo.Describe("Buffering a response", func() {
	ginkgo.DescribeTable("returns a complete body up to the size limit and an error beyond it",
		func(length int, complete bool) {
			body, err := readBounded(strings.NewReader(strings.Repeat("x", length)))
			if !complete {
				Expect(err).To(MatchError(errResponseTooLong))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(body).To(HaveLen(length))
		},
		ginkgo.Entry("an empty response", 0, true),
		ginkgo.Entry("the longest response", maxResponseBytes, true),
		ginkgo.Entry("one byte over the limit", maxResponseBytes+1, false),
	)

	ginkgo.It("returns the error of a response that was cut off", func() {
		_, err := readBounded(io.MultiReader(strings.NewReader("half"), truncatedReader{}))
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})
})

// truncatedReader fails like a connection that is reset inside a response.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
