package event

import (
	"io"
	"os"
	"strconv"
	"sync"
	"time"
)

// Limits of an AsyncWriter.
const (
	flushInterval    = 200 * time.Millisecond // Batching lines saves system calls.
	maxBufferedBytes = 256 << 10              // Lines beyond this size are dropped and counted.
)

// AsyncWriter writes log lines in batches from a background goroutine. Write never waits for
// the output: it drops lines that don't fit in the buffer, and the next flush logs their number.
type AsyncWriter struct {
	out     io.Writer
	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	wake    chan struct{}
}

// NewAsyncWriter returns a writer to out and starts its goroutine, which runs until the
// process ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// NewStdout returns an AsyncWriter to standard output.
func NewStdout() *AsyncWriter { return NewAsyncWriter(os.Stdout) }

// Write implements io.Writer. It reports dropped lines as written.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.buffer)+len(line) > maxBufferedBytes {
		w.dropped++
		w.mu.Unlock()
		return len(line), nil
	}
	wasEmpty := len(w.buffer) == 0
	w.buffer = append(w.buffer, line...)
	w.mu.Unlock()
	if wasEmpty {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

func (w *AsyncWriter) run() {
	for range w.wake {
		time.Sleep(flushInterval)
		w.Flush()
	}
}

// Flush writes the buffered lines. It ignores write errors, as there is no other output to
// report them to.
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
