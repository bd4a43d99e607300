package logclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// fakeLog is one stream; before handles an append's call before or instead of it.
type fakeLog struct {
	mu      sync.Mutex
	records []wire.LogRecord
	first   int64
	posts   atomic.Int64
	before  func(post int64, w http.ResponseWriter, store func()) (handled bool)
}

func (f *fakeLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost {
		data, _ := io.ReadAll(r.Body)
		offset := int64(-1)
		store := func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			offset = int64(len(f.records))
			f.records = append(f.records, wire.LogRecord{Offset: offset, Data: data})
		}
		if post := f.posts.Add(1); f.before != nil && f.before(post, w, store) {
			return
		}
		store()
		_ = json.NewEncoder(w).Encode(wire.AppendReply{Offset: offset})
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	f.mu.Lock()
	reply := wire.ReadReply{First: f.first, Next: int64(len(f.records))}
	reply.Records = append(reply.Records, f.records[min(max(from, f.first), reply.Next):]...)
	f.mu.Unlock()
	if len(reply.Records) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func serve(t *testing.T, f *fakeLog) *Client {
	server := httptest.NewServer(f)
	t.Cleanup(server.Close)
	c := New(Options{BaseURL: server.URL, CallTimeout: 150 * time.Millisecond, PollWait: 20 * time.Millisecond})
	t.Cleanup(c.Close)
	return c
}

// Guards against a record that is appended twice, or reported as lost, when the
// answer to its append does not arrive; against a repeat of an append that may
// still take effect; and against giving up on an append that had no effect.
func TestAppendSettlesLostAnswers(t *testing.T) {
	hang := func() { time.Sleep(300 * time.Millisecond) }
	cases := []struct {
		name   string
		before func(int64, http.ResponseWriter, func()) bool
		posts  int64
		stored int
		kind   func(error) bool
	}{
		{"stored, answer silent", func(_ int64, _ http.ResponseWriter, store func()) bool { store(); hang(); return true }, 1, 1, nil},
		{"stored, answer 500", func(_ int64, w http.ResponseWriter, store func()) bool { store(); w.WriteHeader(500); return true }, 1, 1, nil},
		{"stored late", func(_ int64, _ http.ResponseWriter, store func()) bool { hang(); store(); return true }, 1, 1, nil},
		{"never stored", func(int64, http.ResponseWriter, func()) bool { hang(); return true }, 1, 0,
			func(err error) bool { return fault.Is(err, fault.Unknown) }},
		{"refused", func(_ int64, w http.ResponseWriter, _ func()) bool { w.WriteHeader(413); return true }, 1, 0,
			func(err error) bool { return fault.Is(err, fault.Invalid) }},
		{"busy once", func(post int64, w http.ResponseWriter, _ func()) bool {
			if post == 1 {
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(503)
			}
			return post == 1
		}, 2, 1, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := &fakeLog{before: tc.before}
			c := serve(t, f)
			ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
			defer cancel()
			offset, err := c.Append(ctx, "members", "id-7", []byte(`{"id":"id-7"}`))
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Equal(t, tc.posts, f.posts.Load())
			require.Len(t, f.records, tc.stored)
			if tc.kind != nil {
				require.True(t, tc.kind(err), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Zero(t, offset)
		})
	}
}

// Guards against a caller that cannot tell an unreachable log, where nothing was
// appended, from an unknown outcome.
func TestAppendToClosedPortIsUnavailable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	c := New(Options{BaseURL: server.URL})
	c.sawNext("members", 3)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	_, err := c.Append(ctx, "members", "x", []byte("x"))
	require.True(t, fault.Is(err, fault.Unavailable), "%v", err)
}

// Guards against records that a tail skips or repeats, and against retention that
// removes records without the handler being told.
func TestTailTellsGapsAndContinues(t *testing.T) {
	f := &fakeLog{first: 2}
	for i := range 5 {
		f.records = append(f.records, wire.LogRecord{Offset: int64(i)})
	}
	c := serve(t, f)
	for _, tc := range []struct {
		from, want int64
		gap        bool
	}{{0, 2, true}, {3, 3, false}, {-2, 3, false}, {-100, 2, false}} {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		var got []int64
		_ = c.Tail(ctx, "members", tc.from, func(b Batch) error {
			if len(got) == 0 {
				require.Equal(t, tc.gap, b.Gap)
				require.Equal(t, tc.want, b.From)
			}
			for _, r := range b.Records {
				got = append(got, r.Offset)
			}
			if b.AtEnd && len(b.Records) == 0 {
				cancel()
			}
			return nil
		})
		cancel()
		var want []int64
		for i := tc.want; i < 5; i++ {
			want = append(want, i)
		}
		require.Equal(t, want, got)
	}
}

type slowAppender struct {
	mu      sync.Mutex
	batches []string
	busy    atomic.Int32
}

func (s *slowAppender) Append(_ context.Context, _, _ string, data []byte) (int64, error) {
	if s.busy.Add(1) > 1 {
		return 0, fmt.Errorf("two appends in flight")
	}
	defer s.busy.Add(-1)
	time.Sleep(30 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.batches = append(s.batches, string(data))
	return int64(len(s.batches) - 1), nil
}

// Guards against two appends in flight on one stream, against a waiter that gets
// the result of another append, and against an append over the size limit.
func TestWriterGroupsAppends(t *testing.T) {
	s := &slowAppender{}
	w := NewWriter(s, "shard-00", time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go w.Run(ctx)
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			id := fmt.Sprintf("<%d>", i)
			data := append([]byte(id), make([]byte, 10<<10)...)
			offset, err := w.Append(ctx, id, data)
			if err != nil {
				t.Errorf("append %d: %v", i, err)
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if batch := s.batches[offset]; len(batch) > maxAppendBytes || !strings.Contains(batch, id) {
				t.Errorf("record %d is not in its batch of %d bytes", i, len(batch))
			}
		})
	}
	wait.Wait()
	require.Less(t, len(s.batches), 8)
	_, err := w.Append(ctx, "x", make([]byte, maxAppendBytes+1))
	require.True(t, fault.Is(err, fault.Invalid))
}
