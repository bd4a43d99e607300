package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes a case's record.txt: what was sent, answered and run, with the seconds since the start. Each line is
// in the file at once, so that a play that is ended early leaves its record too.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, started: time.Now()}, nil
}

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
	r.file = nil
}
