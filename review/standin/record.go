package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, with the seconds since the start.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	out     *bufio.Writer
	started time.Time
	quiet   bool // lines of single runs are left out
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, out: bufio.NewWriter(file), started: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
	r.file = nil
}
