package logclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/wire"
)

// service is a log in memory with faults.
type service struct {
	mu         sync.Mutex
	records    []wire.LogRecord
	loseAnswer int // appends that take effect without an answer
	loseAppend int // appends that neither take effect nor get an answer
	refuse     int // appends answered with 503
	appends    int
}

func (s *service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet {
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		reply := wire.ReadReply{First: 1, Next: int64(len(s.records)) + 1}
		if from <= int64(len(s.records)) {
			reply.Records = s.records[from-1:]
		}
		_ = json.NewEncoder(w).Encode(reply)
		return
	}
	s.appends++
	if take(&s.refuse) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if take(&s.loseAppend) {
		panic(http.ErrAbortHandler)
	}
	var buffer json.RawMessage
	_ = json.NewDecoder(r.Body).Decode(&buffer)
	s.records = append(s.records, wire.LogRecord{Offset: int64(len(s.records)) + 1, Data: buffer})
	if take(&s.loseAnswer) {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(wire.AppendReply{Offset: int64(len(s.records))})
}

func take(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func start(t *testing.T, s *service, options ...Option) *Client {
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return New(server.URL, options...)
}

func is(id string) func([]byte) bool {
	return func(data []byte) bool { return string(data) == strconv.Quote(id) }
}

// Guards against a second copy of a record, and a false failure, when the answer
// to an append is lost after it took effect.
func TestLostAnswerIsSettledByReadingBack(t *testing.T) {
	s := &service{loseAnswer: 1}
	client := start(t, s)
	offset, err := client.Append(context.Background(), "x", []byte(`"a"`), is("a"))
	require.NoError(t, err)
	require.EqualValues(t, 1, offset)
	require.Equal(t, 1, s.appends)
}

// Guards against 'not appended' being said of a record that may still land.
func TestUnsettledAppendIsUnknown(t *testing.T) {
	s := &service{loseAppend: 1}
	client := start(t, s)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := client.Append(ctx, "x", []byte(`"a"`), is("a"))
	require.True(t, fault.Is(err, fault.Unknown), "got %v", err)
	require.Equal(t, 1, s.appends)
}

// Guards against appends that are lost, doubled or out of order in group commits
// while answers are lost and the service refuses.
func TestGroupCommitsKeepOrderThroughFaults(t *testing.T) {
	s := &service{loseAnswer: 2, refuse: 2}
	writer := NewWriter(start(t, s), "x", "w", NewBudget(1000))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go writer.Serve(ctx)
	const items = 500
	waits := make([]func(context.Context) error, items)
	for i := range items {
		waits[i] = writer.Append([]byte(fmt.Sprint(i)))
	}
	for _, wait := range waits {
		require.NoError(t, wait(ctx))
	}
	var got []string
	for _, record := range s.records {
		raw, err := Items(record.Data)
		require.NoError(t, err)
		for _, it := range raw {
			got = append(got, string(it))
		}
	}
	require.Len(t, got, items)
	for i := range items {
		require.Equal(t, fmt.Sprint(i), got[i])
	}
	require.Less(t, s.appends, items/10, "items of one moment must share an append")
}

// Guards against bytes and appends that are not counted, or counted for another
// kind of stream, so that the control cost of the log can't be told.
func TestTrafficIsCountedByKindOfStream(t *testing.T) {
	var mu sync.Mutex
	bytes := map[StreamKind]int{}
	results := map[AppendResult]int{}
	s := &service{}
	client := start(t, s, WithTraffic(func(kind StreamKind, n int) {
		mu.Lock()
		defer mu.Unlock()
		bytes[kind] += n
	}), WithAppended(func(_ string, result AppendResult, _ int) {
		mu.Lock()
		defer mu.Unlock()
		results[result]++
	}))
	large := strconv.Quote(string(make([]byte, 10_000)))
	appendTo := func(stream, data string) {
		_, _ = client.Append(t.Context(), stream, []byte(data), func(found []byte) bool { return string(found) == data })
	}
	appendTo(wire.ShardStream(3), `"small"`)
	s.loseAnswer = 1
	appendTo(wire.ShardStream(4), `"lost"`)
	s.refuse = 1
	appendTo(wire.StreamMembers, large)
	mu.Lock()
	defer mu.Unlock()
	require.Equal(t, map[AppendResult]int{AppendConfirmed: 1, AppendReadBack: 1, AppendFailed: 1}, results)
	require.Greater(t, bytes[StreamMembers], len(large))
	require.Greater(t, bytes[StreamShards], 300)
	require.Less(t, bytes[StreamShards], len(large))
	require.Zero(t, bytes[StreamConfig])
}
