package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// answer is what a client got for a request.
type answer struct {
	status int
	seal   string
	err    error
}

// exchange sends a request on a new connection and reads the answer.
func exchange(address, text string, timeout time.Duration) (a answer) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(timeout)); err != nil {
		return answer{err: err}
	}
	if _, err := c.Write([]byte(text)); err != nil {
		return answer{err: err}
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: res.StatusCode, seal: res.Header.Get("Skylarkloom-Response-Seal"), err: res.Body.Close()}
}

// lookup returns a request on the safe route.
func lookup(id string) string {
	return fmt.Sprintf("GET /puxa403/2f HTTP/1.1\r\nHost: %s\r\nSkylarkloom-Attempt-Id: %s\r\nSkylarkloom-Deadline-Ms: 1200\r\nAuthorization: Bearer %s\r\n\r\n", host, id, key)
}

// runOptions sends requests that match no route to each node. The disruption is a request
// about the server as a whole.
func runOptions(f *fleet, trouble bool) (broken bool, err error) {
	targets := []string{"GET /never-a-route/", "OPTIONS /never-a-route/"}
	if trouble {
		targets = append(targets, "OPTIONS *")
	}
	for i, n := range f.nodes {
		for j, target := range targets {
			id := fmt.Sprintf("%016x", 256*i+j+1)
			a := exchange(n.address, fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nSkylarkloom-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\n\r\n", target, host, id, key), 2*time.Second)
			f.record.printf("%s: %s of %s: status %d, seal %q, error %v", n.name, target, id, a.status, a.seal, a.err)
			if a.err != nil {
				return false, a.err
			}
			if a.status/100 == 2 && a.seal == "" {
				broken = true
			}
		}
	}
	runs := 0
	for _, w := range f.workers {
		runs += w.count()
	}
	f.record.printf("the workers ran %d requests", runs)
	return broken, nil
}
