package gateway

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/skylarkloom/skylarkloom/pkg/connection"
	"github.com/skylarkloom/skylarkloom/pkg/serving"
)

// panicLog fails a test for each panic that the server reports.
type panicLog struct{ t *testing.T }

// Write implements io.Writer.
func (l panicLog) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "panic") || strings.Contains(string(p), "WriteHeader") {
		l.t.Errorf("%s", p)
	}
	return len(p), nil
}

// FuzzResponse checks that whatever an endpoint sends, the caller gets a response of HTTP, or a
// closed connection if a stream had begun, and no handler panics.
func FuzzResponse(f *testing.F) {
	for _, status := range []string{"200 OK", "000 None", "007", "+20 OK", "101 Switching Protocols", "204 No Content", "304 Not Modified", "503 Busy", "999 Odd"} {
		for _, rest := range []string{
			"Content-Length: 4\r\n\r\nbody", "\r\nbody", "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nA: b\r\n\r\n", "Trailer: A\r\nRetry-After: 1e400\r\n\r\n",
			"Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: x\n\n", "Skylarkloom-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		} {
			f.Add("HTTP/1.1 " + status + "\r\nSkylarkloom-Attempt-Id: r1\r\nSkylarkloom-Response-Seal: s\r\n" + rest)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	f.Fuzz(func(t *testing.T, text string) {
		const requests = 3
		h := newHandler(l.Addr().String())
		config := h.Config()
		for i := range config.Routes {
			config.Routes[i].Timeout, config.Routes[i].MaxAttempts = 300*time.Millisecond, 1
		}
		node := httptest.NewUnstartedServer(h)
		node.Config.ConnContext, node.Config.ErrorLog = connection.NewContext, log.New(panicLog{t}, "", 0)
		node.Start()
		defer node.Close()
		for range requests {
			for _, kind := range []string{"book", "look", "tale"} {
				answerOnce(t, l, strings.TrimPrefix(node.URL, "http://"), kind, text)
			}
		}
	})
}

// answerOnce sends a request to a node and lets the endpoint answer it with a text.
func answerOnce(t *testing.T, endpoint net.Listener, node, route, text string) {
	c, err := net.Dial("tcp", node)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err = fmt.Fprintf(c, "GET /%s/1 HTTP/1.1\r\nHost: h\r\nSkylarkloom-Attempt-Id: r1\r\n\r\n", route); err != nil {
		t.Fatal(err)
	}
	served, err := endpoint.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if _, err = http.ReadRequest(bufio.NewReader(served)); err == nil {
		// The node may have closed the connection.
		_, _ = io.WriteString(served, text)
	}
	_ = served.Close()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: no response: %v", route, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode < 200 || res.StatusCode > 599 {
		t.Errorf("%s: status %d", route, res.StatusCode)
	}
	_, err = io.ReadAll(res.Body)
	if err != nil && (route != string(serving.RouteName("tale")) || res.StatusCode != http.StatusOK) {
		t.Errorf("%s: status %d, then %v", route, res.StatusCode, err)
	}
}

// FuzzRequest checks that no request of a caller makes a handler panic.
func FuzzRequest(f *testing.F) {
	for _, path := range []string{"/book/1", "/look/1", "/tale/1"} {
		f.Add("POST " + path + " HTTP/1.1\r\nHost: h\r\nSkylarkloom-Attempt-Id: r1\r\nSkylarkloom-Deadline-Ms: 100\r\nSkylarkloom-Token-Counts: 10,20\r\nSkylarkloom-Prompt-Prefix: a:1,b:2\r\nSkylarkloom-Length-Hint: 3\r\nLast-Event-Id: 1\r\nContent-Length: 4\r\n\r\nbody")
		f.Add("GET " + path + " HTTP/1.0\r\nHost: h\r\nSkylarkloom-Deadline-Ms: -1\r\nSkylarkloom-Token-Counts: 9223372036854775807,9223372036854775807\r\n\r\n")
		f.Add("POST " + path + " HTTP/1.1\r\nHost: h\r\nSkylarkloom-Deadline-Ms: 9223372036854775807\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
	}
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Skylarkloom-Attempt-Id", r.Header.Get("Skylarkloom-Attempt-Id"))
		w.Header().Set("Skylarkloom-Response-Seal", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
	}))
	f.Cleanup(endpoint.Close)
	f.Fuzz(func(t *testing.T, text string) {
		h := newHandler(strings.TrimPrefix(endpoint.URL, "http://"))
		config := h.Config()
		pool := config.Pools["desk"]
		pool.Engine = &serving.Engine{Slots: 4, FetchesKV: true, TokensPerEvent: 3}
		config.Pools["desk"] = pool
		for i := range config.Routes {
			config.Routes[i].Timeout = 200 * time.Millisecond
		}
		node := httptest.NewUnstartedServer(h)
		node.Config.ConnContext, node.Config.ErrorLog = connection.NewContext, log.New(panicLog{t}, "", 0)
		node.Start()
		defer node.Close()
		c, err := net.Dial("tcp", strings.TrimPrefix(node.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		// The node may close the connection before it has read all.
		_, _ = io.WriteString(c, text)
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(time.Second))
		_, _ = io.Copy(io.Discard, c)
	})
}
