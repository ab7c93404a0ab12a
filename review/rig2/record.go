package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, begun: time.Now()}, err
}

// printf writes a line with the time since the start. It also goes to the standard output.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	if _, err := r.file.WriteString(line); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

func (r *record) close() {
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}
