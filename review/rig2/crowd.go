package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// crowdSize is the number of clients of the crowd.
	crowdSize = 1700
	// crowdBody is the length of each body of the crowd, of which a byte is sent each crowdPause.
	crowdBody  = 4000
	crowdPause = 300 * time.Millisecond
	// crowdTime is how long the crowd stays.
	crowdTime = 25 * time.Second
	// ordinaryClients send a request each ordinaryPause.
	ordinaryClients = 8
	ordinaryPause   = 500 * time.Millisecond
	// contact is contactMs of the settings, and minClients how many clients have to try.
	contact    = 3 * time.Second
	minClients = 7
)

// outcome is the answer that an ordinary client got.
type outcome struct {
	answer
	client int
	sentAt time.Time
}

// runCrowd sends requests of ordinary clients to a node while a crowd sends bodies in pieces.
func runCrowd(f *fleet, trouble bool) (broken bool, err error) {
	n := f.nodes[0]
	var group errgroup.Group
	ctx, cancel := context.WithTimeout(f.ended, crowdTime)
	defer cancel()
	if trouble {
		for i := range crowdSize {
			group.Go(func() error {
				sendInPieces(ctx, n.address, i)
				return nil
			})
		}
	}
	var mu sync.Mutex
	var outcomes []outcome
	begun := time.Now()
	for c := range ordinaryClients {
		group.Go(func() error {
			for i := 0; ctx.Err() == nil; i++ {
				o := outcome{client: c, sentAt: time.Now()}
				o.answer = exchange(n.address, lookup(fmt.Sprintf("%08x%08x", c+1, i+1)), 1200*time.Millisecond)
				mu.Lock()
				outcomes = append(outcomes, o)
				mu.Unlock()
				time.Sleep(ordinaryPause)
			}
			return nil
		})
	}
	asked, ready := 0, 0
	for ctx.Err() == nil {
		if asked++; n.isReady() {
			ready++
		}
		time.Sleep(time.Second)
	}
	if err = group.Wait(); err != nil {
		return false, err
	}
	f.record.printf("%s was asked %d times whether it is ready and said so %d times; its process runs: %t", n.name, asked, ready, n.isRunning())
	f.recordSeconds(outcomes, begun)
	from, length, clients := longestRefusal(outcomes, begun)
	f.record.printf("the longest time without a served connection begins at second %.1f and takes %.1f s, in which %d clients tried", from.Seconds(), length.Seconds(), clients)
	return ready == asked && length > contact && clients >= minClients, nil
}

// recordSeconds writes what the ordinary clients got in each second.
func (f *fleet) recordSeconds(outcomes []outcome, begun time.Time) {
	for second := range int(crowdTime.Seconds()) {
		from := begun.Add(time.Duration(second) * time.Second)
		counts := make(map[string]int)
		for _, o := range outcomes {
			if o.sentAt.Before(from) || !o.sentAt.Before(from.Add(time.Second)) {
				continue
			}
			what := fmt.Sprint("status ", o.status)
			if o.err != nil {
				what = "no answer"
			}
			counts[what]++
		}
		f.record.printf("second %d: the ordinary clients got %v", second, counts)
	}
}

// longestRefusal returns the longest time in which no connection of an ordinary client was
// served, from the start, and how many of them tried one in it.
func longestRefusal(outcomes []outcome, begun time.Time) (from, length time.Duration, clients int) {
	slices.SortFunc(outcomes, func(a, b outcome) int { return a.sentAt.Compare(b.sentAt) })
	last, tried := begun, make(map[int]bool)
	for _, o := range outcomes {
		tried[o.client] = true
		if d := o.sentAt.Sub(last); d > length {
			from, length, clients = last.Sub(begun), d, len(tried)
		}
		if o.err == nil && o.status == http.StatusOK {
			last, tried = o.sentAt, make(map[int]bool)
		}
	}
	return from, length, clients
}

// sendInPieces sends requests whose bodies come byte by byte, one after the other.
func sendInPieces(ctx context.Context, address string, client int) {
	for i := 0; ctx.Err() == nil; i++ {
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			time.Sleep(crowdPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { _ = c.Close() })
		_, err = fmt.Fprintf(c, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nSkylarkloom-Attempt-Id: c%07x%08x\r\nSkylarkloom-Deadline-Ms: 15000\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", host, client, i, key, crowdBody)
		for sent := 0; err == nil && sent < crowdBody; sent++ {
			_, err = c.Write([]byte("a"))
			time.Sleep(crowdPause)
		}
		stop()
		_ = c.Close()
	}
}
