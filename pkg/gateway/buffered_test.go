package gateway

import (
	"context"
	"io"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/intake"
)

var _ = ginkgo.Describe("Buffering a response", func() {
	ginkgo.DescribeTable("returns a complete body up to the size limit and an error beyond it",
		func(length intake.Bytes, complete bool) {
			for _, announced := range []int64{int64(length), -1} {
				body, err := readResponse(strings.NewReader(strings.Repeat("x", int(length))), announced)
				if !complete {
					Expect(err).To(MatchError(intake.ErrTooLong))
					continue
				}
				Expect(err).NotTo(HaveOccurred())
				Expect(body).To(HaveLen(int(length)))
			}
		},
		ginkgo.Entry("an empty response", intake.Bytes(0), true),
		ginkgo.Entry("a short response", intake.Bytes(800), true),
		ginkgo.Entry("a response of some length", 3*intake.SmallBody, true),
		ginkgo.Entry("the longest response", maxResponseBytes, true),
		ginkgo.Entry("one byte over the limit", maxResponseBytes+1, false),
	)

	ginkgo.It("returns the error of a response that was cut off", func() {
		for _, announced := range []int64{8, -1} {
			_, err := readResponse(io.MultiReader(strings.NewReader("half"), truncatedReader{}), announced)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		}
	})
})

// readResponse reads a body of an announced length, -1 if there is none, as that of a response.
func readResponse(source io.Reader, announced int64) ([]byte, error) {
	r := intake.BodyReader{Source: source, Length: announced, Limit: maxResponseBytes}
	return r.ReadAll(context.Background())
}

// truncatedReader fails like a connection that is reset inside a response.
type truncatedReader struct{}

func (truncatedReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
