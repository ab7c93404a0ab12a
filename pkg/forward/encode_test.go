package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/skylarkloom/skylarkloom/pkg/forward"
)

var _ = DescribeTable("A request arrives whole", func(ctx context.Context, headBytes, bodyBytes int) {
	address := scriptedEndpoint(func(conn net.Conn, requests *bufio.Reader) {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(r.Header.Get("X"))+len(body), r.Header.Get("X")+string(body))
	})
	head, body := bytes.Repeat([]byte("h"), headBytes), bytes.Repeat([]byte("0123456789"), bodyBytes/10+1)[:bodyBytes]
	var pool forward.Pool
	res, err := pool.Do(ctx, forward.Request{Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{"X": {string(head)}}, Body: body})
	Expect(err).NotTo(HaveOccurred())
	defer res.Close()
	got, err := io.ReadAll(res)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(got)).To(Equal(string(head) + string(body)))
},
	Entry("without a body", 10, 0),
	Entry("with a short body", 10, 600),
	Entry("with a body that fills the first write", 10, 4096),
	Entry("with a long body", 10, 1<<20),
	Entry("with a long head", 6000, 10),
	Entry("with both long", 6000, 9000),
)
