//go:build crowds

package crowd_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const (
	// sendTime is how long a caller of a crowd may take to send what it sends. A caller
	// that the node does not read from keeps its connection open afterwards.
	sendTime = 4 * time.Second
	// answerTime bounds the wait for an answer. No answer is expected to take long.
	answerTime = 20 * time.Second
)

// sender is what one caller of a crowd sends on its connection. The connection stays open.
type sender func(c io.Writer)

// write writes text, and reports whether the connection takes more.
func write(c io.Writer, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

const requestLine = "POST /desk/crowd HTTP/1.1\r\nHost: h.example\r\n"

// headOfOneLine is a head whose first header line does not end.
func headOfOneLine(c io.Writer) {
	write(c, requestLine+"X-Long: "+strings.Repeat("a", 900<<10))
}

// headOfManyLines is a head of very short lines that does not end.
func headOfManyLines(c io.Writer) {
	var b strings.Builder
	b.WriteString(requestLine)
	for i := 0; b.Len() < 900<<10; i++ {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	write(c, b.String())
}

// emptyLines are empty lines where a request is due.
func emptyLines(c io.Writer) { write(c, strings.Repeat("\r\n", 450<<10)) }

// emptyLinesBetween are empty lines after a request.
func emptyLinesBetween(c io.Writer) {
	write(c, requestLine+"Content-Length: 2\r\n\r\nok"+strings.Repeat("\r\n", 450<<10))
}

// silence sends nothing.
func silence(io.Writer) {}

// bodyWhole is a body with a length, except for its last byte.
func bodyWhole(c io.Writer) {
	write(c, requestLine+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes)+strings.Repeat("a", maxBodyBytes-1))
}

// bodyInPieces is a body with a length in pieces, except for its last byte.
func bodyInPieces(c io.Writer) {
	const piece = 64 << 10
	ok := write(c, requestLine+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))
	for sent := 0; ok && sent < maxBodyBytes-piece; sent += piece {
		ok = write(c, strings.Repeat("a", piece))
		time.Sleep(2 * time.Millisecond)
	}
	if ok {
		write(c, strings.Repeat("a", piece-1))
	}
}

// chunked is a chunked body without its last chunk.
func chunked(c io.Writer, size, count, perWrite int) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("a", size))
	ok := write(c, requestLine+"Transfer-Encoding: chunked\r\n\r\n")
	for sent := 0; ok && sent < count; sent += perWrite {
		ok = write(c, strings.Repeat(chunk, perWrite))
	}
}

func largeChunks(c io.Writer) { chunked(c, 256<<10, maxBodyBytes>>18, 1) }

func tinyChunks(c io.Writer) { chunked(c, 1, 512<<10, 8<<10) }

// crowd is what a number of callers send at the same time, each on its own connection.
type crowd struct {
	address string
	count   int
	send    []sender
}

// join lets a crowd send, waits until each caller has sent its part or has sent for
// sendTime, and returns the function that closes the connections that are still open.
func (cr crowd) join() (leave func()) {
	var group errgroup.Group
	var mu sync.Mutex
	var conns []net.Conn
	for i := range cr.count {
		group.Go(func() error {
			c, err := net.DialTimeout("tcp", cr.address, sendTime)
			if err != nil {
				return nil //nolint:nilerr // The node may refuse a connection.
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			if err := c.SetWriteDeadline(time.Now().Add(sendTime)); err != nil {
				return err
			}
			cr.send[i%len(cr.send)](c)
			return nil
		})
	}
	Expect(group.Wait()).To(Succeed())
	return func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// post sends an ordinary request with a body on a new connection and returns the status, or
// 0 if there is no complete response.
func (n *node) post(body io.Reader) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.ip+":8080/desk/ordinary", body)
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	client := http.Client{Timeout: answerTime, Transport: &http.Transport{DisableKeepAlives: true}}
	return statusOf(client.Do(req))
}

// expectServed expects that the node serves an ordinary request, which comes again after a
// refusal or a closed connection.
func (n *node) expectServed() {
	GinkgoHelper()
	Eventually(func() int { return n.post(strings.NewReader("hello")) }).
		WithTimeout(answerTime).WithPolling(50 * time.Millisecond).Should(Equal(http.StatusOK))
}

// expectBounded expects that the process lives and has kept to its memory and descriptors.
func (n *node) expectBounded() {
	GinkgoHelper()
	peak, descriptors := n.peakMemory(), n.countDescriptors()
	// The figures go into the log of the run, also when the spec passes.
	fmt.Printf("%s: peak memory %d MiB of %d, descriptors %d of %d\n",
		CurrentSpecReport().LeafNodeText, peak>>10, memoryMiB, descriptors, maxDescriptors-fileDescriptors)
	Expect(n.exited).NotTo(BeClosed(), "the process must live")
	Expect(peak).To(BeNumerically("<", memoryMiB<<10), "peak memory in KiB")
	Expect(descriptors).To(BeNumerically("<", maxDescriptors-fileDescriptors), "descriptors")
}

var _ = Describe("A node within its memory and descriptors", Ordered, ContinueOnFailure, func() {
	DescribeTable("lives and serves an ordinary request beside", func(count int, send ...sender) {
		n := startNode()
		leave := crowd{n.ip + ":8080", count, send}.join()
		n.expectServed()
		n.countDescriptors()
		leave()
		n.expectServed()
		n.expectBounded()
	},
		Entry("heads without end", 400, headOfOneLine, headOfManyLines),
		Entry("empty lines without end", 400, emptyLines, emptyLinesBetween),
		Entry("connections without a request", 400, silence),
		Entry("bodies that stop short of their end", 80, bodyWhole),
		Entry("bodies in pieces that stop short of their end", 80, bodyInPieces),
		Entry("bodies in large chunks without the last", 80, largeChunks),
		Entry("bodies in tiny chunks without the last", 280, tinyChunks),
		Entry("a mixed crowd", 280, headOfOneLine, bodyWhole, tinyChunks, headOfManyLines, bodyInPieces, emptyLines, largeChunks, silence),
	)

	It("lives and serves an ordinary request beside a crowd that changes its kind", func() {
		n := startNode()
		for _, send := range []sender{headOfManyLines, bodyWhole, tinyChunks, largeChunks, headOfOneLine} {
			leave := crowd{n.ip + ":8080", 80, []sender{send}}.join()
			DeferCleanup(leave)
		}
		n.expectServed()
		n.expectBounded()
	})

	It("lives and is ready beside heads without end at its other addresses", func() {
		n := startNode()
		for _, port := range []string{":8081", ":7600", ":7601"} {
			leave := crowd{n.ip + port, 130, []sender{headOfOneLine, headOfManyLines}}.join()
			DeferCleanup(leave)
		}
		n.expectServed()
		Eventually(func() int { return statusOf(http.Get("http://" + n.ip + ":8081/readyz")) }).
			WithTimeout(answerTime).WithPolling(50 * time.Millisecond).Should(Equal(http.StatusOK))
		n.expectBounded()
	})

	It("serves bodies of legal size in calm, several at once and slow ones", func() {
		n := startNode()
		for range 3 {
			var group errgroup.Group
			for range 4 {
				group.Go(func() error {
					if status := n.post(bytes.NewReader(make([]byte, maxBodyBytes))); status != http.StatusOK {
						return fmt.Errorf("status %d", status)
					}
					return nil
				})
			}
			Expect(group.Wait()).To(Succeed())
		}
		Expect(n.post(&slowReader{left: maxBodyBytes, pause: 40 * time.Millisecond})).To(Equal(http.StatusOK))
		Expect(n.post(iotest.OneByteReader(bytes.NewReader(make([]byte, maxBodyBytes))))).To(Equal(http.StatusOK), "in chunks of one byte")
		n.expectBounded()
	})
})

// slowReader is a body of left bytes that comes in pieces with pauses.
type slowReader struct {
	left  int
	pause time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(r.pause)
	n := min(len(p), r.left)
	r.left -= n
	return n, nil
}
