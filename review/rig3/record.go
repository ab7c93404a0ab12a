package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record is what was sent, answered and run. It is written to a file at the end.
type record struct {
	mu    sync.Mutex
	begun time.Time
	lines []string
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.begun.IsZero() {
		r.begun = time.Now()
	}
	r.lines = append(r.lines, fmt.Sprintf("%8.3f s  ", time.Since(r.begun).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), fileMode)
}
