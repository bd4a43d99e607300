package event

import (
	"io"
	"os"
	"strconv"
	"sync"
	"time"
)

// Bounds of an AsyncWriter.
const (
	asyncFlush  = 200 * time.Millisecond // lines are written in blocks: each write has a cost
	asyncBuffer = 256 << 10              // bytes that wait at most; later lines are dropped and counted
)

// AsyncWriter writes lines in blocks from its own goroutine. Write never blocks: lines
// that find the buffer full are dropped, and their number is written later.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which ends with the
// process.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// NewStdout returns an AsyncWriter to standard output.
func NewStdout() *AsyncWriter { return NewAsyncWriter(os.Stdout) }

// Write implements io.Writer.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > asyncBuffer {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	first := len(w.buffer) == 0
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	if first {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		time.Sleep(asyncFlush)
		w.Flush()
	}
}

// Flush writes what waits. An error of the output is not reported anywhere else than
// there, so it is dropped.
func (w *AsyncWriter) Flush() {
	w.mu.Lock()
	block, dropped := w.buffer, w.dropped
	w.buffer, w.dropped = w.spare[:0], 0
	w.spare = nil
	w.mu.Unlock()
	if dropped > 0 {
		block = append(block, `{"level":"warn","event":1,"dropped":`+strconv.Itoa(dropped)+`,"message":"log lines were dropped"}`+"\n"...)
	}
	if len(block) > 0 {
		_, _ = w.out.Write(block)
	}
	w.mu.Lock()
	if w.spare == nil {
		w.spare = block[:0]
	}
	w.mu.Unlock()
}
