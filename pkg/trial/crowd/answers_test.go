//go:build crowds

package crowd_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"
)

const (
	// answerCallers is how many callers ask for such answers at the same time.
	answerCallers = 60
	// longAnswer is the length of the longest answer that a node relays.
	longAnswer = 8 << 20
	// endless is a length that no answer reaches.
	endless = 1 << 40
)

// answer writes an answer to a connection until the node closes it. common holds the header
// lines that each answer of an endpoint has.
type answer func(c net.Conn, common string)

// ServeHTTP implements http.Handler.
func (a answer) ServeHTTP(w http.ResponseWriter, _ *http.Request) { a.hijack(w, "") }

// hijack writes the answer to the connection of a request.
func (a answer) hijack(w http.ResponseWriter, common string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	// The node may have closed the connection.
	defer func() { _ = c.Close() }()
	a(c, common)
}

// fill writes text again and again until the node closes the connection.
func fill(c net.Conn, text string) {
	for block := strings.Repeat(text, 1+(32<<10)/len(text)); write(c, block); {
	}
}

// hold keeps a connection open until the node closes it.
func hold(c net.Conn) {
	// The node sends nothing more, so the copy ends with the connection.
	_, _ = io.Copy(io.Discard, c)
}

// statusLine returns the begin of an answer's head.
func statusLine(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
}

// bodyInChunks, bodyWithLength and bodyToTheEnd return answers whose body has no end.
func bodyInChunks(status int) answer {
	return func(c net.Conn, common string) {
		write(c, statusLine(status)+common+"Transfer-Encoding: chunked\r\n\r\n")
		fill(c, "1000\r\n"+strings.Repeat("a", 0x1000)+"\r\n")
	}
}

func bodyWithLength(status int) answer {
	return func(c net.Conn, common string) {
		write(c, statusLine(status)+common+fmt.Sprintf("Content-Length: %d\r\n\r\n", endless))
		fill(c, "a")
	}
}

func bodyToTheEnd(status int) answer {
	return func(c net.Conn, common string) {
		write(c, statusLine(status)+common+"Connection: close\r\n\r\n")
		fill(c, "a")
	}
}

// bodyInTinyChunks has no end either.
func bodyInTinyChunks(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+"Transfer-Encoding: chunked\r\n\r\n")
	fill(c, "1\r\na\r\n")
}

// bodyStopsShort and chunksStopShort stop just before the end of the longest answer.
func bodyStopsShort(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+fmt.Sprintf("Content-Length: %d\r\n\r\n", longAnswer))
	write(c, strings.Repeat("a", longAnswer-1))
	hold(c)
}

func chunksStopShort(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+"Transfer-Encoding: chunked\r\n\r\n")
	write(c, fmt.Sprintf("%x\r\n%s\r\n", longAnswer-1, strings.Repeat("a", longAnswer-1)))
	hold(c)
}

// headInOneLine and headInManyLines are heads without end.
func headInOneLine(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+"X-Long: ")
	fill(c, "a")
}

func headInManyLines(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common)
	fill(c, "a:\r\n")
}

// headOfManyLinesStopsShort stops before the end of a head that is as long as it may be.
func headOfManyLinesStopsShort(c net.Conn, common string) {
	const longestHead, lines = 64 << 10, 9 << 10
	var head strings.Builder
	head.WriteString(statusLine(http.StatusOK) + common)
	for i := range lines {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	write(c, head.String()[:min(head.Len(), longestHead-2)])
	hold(c)
}

// bodyAfterManyLines is a body without end behind a long head.
func bodyAfterManyLines(c net.Conn, common string) {
	const lines = 8 << 10
	var head strings.Builder
	for i := range lines {
		fmt.Fprintf(&head, "%x:\r\n", i)
	}
	write(c, statusLine(http.StatusOK)+common+head.String()+"\r\n")
	fill(c, "a")
}

// eventWithoutEnd is a stream whose first event has no end, eventStopsShort one whose first
// event stops just before it is too long.
func eventWithoutEnd(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ")
	fill(c, "a")
}

func eventStopsShort(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ")
	write(c, strings.Repeat("a", 1<<20-100))
	hold(c)
}

// commentsWithoutEnd is a stream of comments only.
func commentsWithoutEnd(c net.Conn, common string) {
	write(c, statusLine(http.StatusOK)+common+"Content-Type: text/event-stream\r\n\r\n")
	fill(c, ": "+strings.Repeat("a", 4<<10)+"\n\n")
}

// refusalWithBody says that the request was not run, in an answer without end.
func refusalWithBody(c net.Conn, common string) {
	write(c, statusLine(http.StatusServiceUnavailable)+"Skylarkloom-Not-Executed: 1\r\n"+common+fmt.Sprintf("Content-Length: %d\r\n\r\n", endless))
	fill(c, "a")
}

// interimAnswers are interim answers without end.
func interimAnswers(c net.Conn, _ string) { fill(c, "HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\n") }

// answerToAnother belongs to another request and has no end.
func answerToAnother(c net.Conn, _ string) {
	write(c, statusLine(http.StatusOK)+"Skylarkloom-Attempt-Id: other\r\nSkylarkloom-Response-Seal: seal\r\n"+fmt.Sprintf("Content-Length: %d\r\n\r\n", endless))
	fill(c, "a")
}

// faultyWorker gives answers by turns.
type faultyWorker struct {
	answers []answer
	served  atomic.Int64

	mu sync.Mutex
	// ran holds the requests that were run.
	ran map[string]bool
}

// ServeHTTP implements http.Handler.
func (f *faultyWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Skylarkloom-Attempt-Id")
	f.mu.Lock()
	if f.ran == nil {
		f.ran = make(map[string]bool)
	}
	f.ran[id] = true
	f.mu.Unlock()
	common := "Skylarkloom-Attempt-Id: " + id + "\r\nSkylarkloom-Response-Seal: seal-" + id + "\r\nSkylarkloom-Weight-Versions: 1\r\n"
	f.answers[int(f.served.Add(1))%len(f.answers)].hijack(w, common)
}

// hasRun reports whether the worker ran a request.
func (f *faultyWorker) hasRun(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[id]
}

// received is what a caller received. complete reports whether the body had the end that its
// framing says.
type received struct {
	status   int
	body     []byte
	complete bool
}

// ask sends a request to a path and reads the answer.
func (n *node) ask(ctx context.Context, path, id string) (r received) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.ip+":8080"+path, strings.NewReader("ask"))
	Expect(err).NotTo(HaveOccurred())
	req.Host = "h.example"
	req.Header.Set("Skylarkloom-Attempt-Id", id)
	req.Header.Set("Skylarkloom-Model", "m")
	req.Header.Set("Skylarkloom-Token-Counts", "640,234")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = res.Body.Close() }()
	r.status = res.StatusCode
	r.body, err = io.ReadAll(res.Body)
	r.complete = err == nil
	return r
}

// askAtOnce lets answerCallers ask at the same time, calls meanwhile, and returns what the
// callers received by the IDs of their requests.
func (n *node) askAtOnce(path string, meanwhile func()) map[string]received {
	var mu sync.Mutex
	all := make(map[string]received)
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	var group errgroup.Group
	for i := range answerCallers {
		group.Go(func() error {
			id := fmt.Sprintf("%016x", i+1)
			r := n.ask(ctx, path, id)
			mu.Lock()
			defer mu.Unlock()
			all[id] = r
			return nil
		})
	}
	meanwhile()
	Expect(group.Wait()).To(Succeed())
	return all
}

// expectTrue expects that no caller was told what is not so: that its request was not run
// although it was, or that an answer is whole which was not.
func expectTrue(all map[string]received, workers []*faultyWorker) {
	GinkgoHelper()
	statuses := make(map[int]int)
	for id, r := range all {
		statuses[r.status]++
		ran := false
		for _, w := range workers {
			ran = ran || w.hasRun(id)
		}
		switch r.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			Expect(ran).To(BeFalse(), "%s got status %d", id, r.status)
		case http.StatusOK:
			Expect(r.complete).To(BeFalse(), "%s got a complete answer", id)
		}
	}
	fmt.Printf("%s: callers by status %v\n", CurrentSpecReport().LeafNodeText, statuses)
}

// wholeAnswer gives the longest answer, with a length, in chunks or ending with the
// connection by turns. It pauses after each piece.
type wholeAnswer struct {
	served atomic.Int64
	pause  time.Duration
}

// longBody is the body of wholeAnswer.
var longBody = bytes.Repeat([]byte("0123456789abcdef"), longAnswer/16)

// ServeHTTP implements http.Handler.
func (a *wholeAnswer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Skylarkloom-Attempt-Id")
	w.Header().Set("Skylarkloom-Attempt-Id", id)
	w.Header().Set("Skylarkloom-Response-Seal", "seal-"+id)
	switch a.served.Add(1) % 3 {
	case 0:
		w.Header().Set("Content-Length", fmt.Sprint(longAnswer))
	case 1:
		w.Header().Set("Connection", "close")
		w.Header().Set("Transfer-Encoding", "identity")
	}
	const piece = 64 << 10
	for rest := longBody; len(rest) > 0; rest = rest[piece:] {
		if _, err := w.Write(rest[:piece]); err != nil {
			return
		}
		time.Sleep(a.pause)
	}
}

// From a report of other operators: a faulty worker sent bytes that were no answer, without
// end, and the machine that had called it kept them all and ran out of memory.
var _ = Describe("A node beside workers whose answers have no end", Ordered, ContinueOnFailure, func() {
	DescribeTable("lives, serves an ordinary request and tells callers the truth", func(service string, answers ...answer) {
		workers := []*faultyWorker{{answers: answers}, {answers: answers}}
		n := startNode(worker{service, workers[0]}, worker{service, workers[1]})
		all := n.askAtOnce("/"+service+"/crowd", n.expectServed)
		n.expectServed()
		n.expectBounded()
		expectTrue(all, workers)
	},
		Entry("bodies with a length", "bulk", bodyWithLength(200)),
		Entry("bodies in chunks", "bulk", bodyInChunks(200)),
		Entry("bodies that end with the connection", "bulk", bodyToTheEnd(200)),
		Entry("bodies in tiny chunks", "bulk", bodyInTinyChunks),
		Entry("bodies of failures", "bulk", bodyWithLength(500), bodyInChunks(502), bodyToTheEnd(404)),
		Entry("bodies that stop short of their end", "bulk", bodyStopsShort, chunksStopShort),
		Entry("answers to other requests, and interim ones", "bulk", answerToAnother, interimAnswers),
		Entry("heads", "bulk", headInOneLine, headInManyLines),
		Entry("heads that stop short of their end", "bulk", headOfManyLinesStopsShort),
		Entry("bodies behind long heads", "bulk", bodyAfterManyLines),
		Entry("failures of streams", "talk", bodyWithLength(500), bodyInChunks(500), bodyToTheEnd(500)),
		Entry("events", "talk", eventWithoutEnd),
		Entry("events that stop short of their end", "talk", eventStopsShort),
		Entry("comments and heads of streams", "talk", commentsWithoutEnd, headInManyLines, headOfManyLinesStopsShort),
	)

	It("lives and serves an ordinary request beside refusals without end", func() {
		answers := []answer{refusalWithBody}
		n := startNode(worker{"bulk", &faultyWorker{answers: answers}}, worker{"talk", &faultyWorker{answers: answers}})
		n.askAtOnce("/bulk/crowd", n.expectServed)
		n.askAtOnce("/talk/crowd", n.expectServed)
		n.expectServed()
		n.expectBounded()
	})

	It("lives and serves an ordinary request beside callers that do not read long answers", func() {
		n := startNode(worker{"bulk", &wholeAnswer{}}, worker{"bulk", &wholeAnswer{}})
		leave := crowd{n.ip + ":8080", answerCallers, []sender{func(c io.Writer) {
			write(c, "POST /bulk/crowd HTTP/1.1\r\nHost: h.example\r\nContent-Length: 2\r\n\r\nok")
		}}}.join()
		DeferCleanup(leave)
		time.Sleep(sendTime)
		n.expectServed()
		n.expectBounded()
	})

	It("relays long answers whole in calm, several at once and slow ones", func() {
		quick, slow := &wholeAnswer{}, &wholeAnswer{pause: 10 * time.Millisecond}
		n := startNode(worker{"bulk", quick})
		for range 3 {
			var group errgroup.Group
			for i := range 4 {
				group.Go(func() error { return n.expectWhole(fmt.Sprint("quick", i)) })
			}
			Expect(group.Wait()).To(Succeed())
		}
		n = startNode(worker{"bulk", slow})
		for i := range 3 {
			Expect(n.expectWhole(fmt.Sprint("slow", i))).To(Succeed())
		}
		n.expectBounded()
	})
})

// expectWhole asks for the longest answer and returns an error unless it arrives whole.
func (n *node) expectWhole(id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	switch r := n.ask(ctx, "/bulk/calm", id); {
	case r.status != http.StatusOK || !r.complete:
		return fmt.Errorf("%s: status %d, complete: %t", id, r.status, r.complete)
	case !bytes.Equal(r.body, longBody):
		return errors.New(id + ": another body")
	}
	return nil
}
