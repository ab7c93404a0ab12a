package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = DescribeTable("A body arrives unchanged or is refused", func(length int, chunked bool, status int) {
	body := bytes.Repeat([]byte("0123456789abcdef"), length/16+1)[:length]
	reader := io.Reader(bytes.NewReader(body))
	if chunked {
		// Without a length, a client sends chunks.
		reader = io.MultiReader(reader)
	}
	r := httptest.NewRequest(http.MethodPost, "/", reader)
	if chunked {
		r.ContentLength = -1
	}
	got, err := (&bodyReader{request: r, limit: 1 << 20}).read()
	if status == http.StatusOK {
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Equal(got, body)).To(BeTrue())
		return
	}
	Expect(err).To(MatchError(errBodyTooLarge))
},
	Entry("empty", 0, false, http.StatusOK),
	Entry("empty in chunks", 0, true, http.StatusOK),
	Entry("small", 9<<10, false, http.StatusOK),
	Entry("small in chunks", 9<<10, true, http.StatusOK),
	Entry("the longest", 1<<20, false, http.StatusOK),
	Entry("the longest in chunks", 1<<20, true, http.StatusOK),
	Entry("too long", 1<<20+1, false, http.StatusRequestEntityTooLarge),
	Entry("too long in chunks", 1<<20+1, true, http.StatusRequestEntityTooLarge),
)
