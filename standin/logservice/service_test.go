package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/wire"
)

const testTimeout = 5 * time.Second

type harness struct {
	*testing.T
	service *Service
	url     string
}

func start(t *testing.T, options Options) harness {
	s := New(options)
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return harness{T: t, service: s, url: server.URL + "/v1/streams/x/records"}
}

func (h harness) call(method, query, body string, timeout time.Duration, reply any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, h.url+query, strings.NewReader(body))
	require.NoError(h, err)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(reply)
}

func (h harness) append(body string) (int64, int, error) {
	var reply wire.AppendReply
	status, err := h.call(http.MethodPost, "", body, testTimeout, &reply)
	return reply.Offset, status, err
}

func (h harness) read(query string) wire.ReadReply {
	var reply wire.ReadReply
	status, err := h.call(http.MethodGet, query, "", testTimeout, &reply)
	require.NoError(h, err)
	require.Equal(h, http.StatusOK, status)
	return reply
}

// Guards against offsets with gaps or repeats, on which epochs and takeover rest.
func TestOffsetsRiseByOne(t *testing.T) {
	h := start(t, Options{})
	assert.Equal(t, wire.ReadReply{First: 1, Next: 1, Records: []wire.LogRecord{}}, h.read(""))
	for i := int64(1); i <= 5; i++ {
		offset, _, err := h.append(fmt.Sprint("r", i))
		require.NoError(t, err)
		assert.Equal(t, i, offset)
	}
	reply := h.read("?from=2&max=2")
	assert.Equal(t, int64(6), reply.Next)
	assert.Equal(t, []wire.LogRecord{{Offset: 2, Data: []byte("r2")}, {Offset: 3, Data: []byte("r3")}}, reply.Records)
}

// Guards against a lost answer whose append did not take effect: clients must be
// able to find the record by reading back.
func TestLostAnswersTakeEffect(t *testing.T) {
	h := start(t, Options{})
	require.NoError(t, h.service.SetLose(Lose{Appends: 2}))
	for _, body := range []string{"a", "b"} {
		_, _, err := h.append(body)
		require.Error(t, err)
	}
	offset, _, err := h.append("c")
	require.NoError(t, err)
	assert.Equal(t, int64(3), offset)
	assert.Len(t, h.read("").Records, 3)
	assert.Equal(t, int64(2), h.service.Stats().AnswersLost)
}

// Guards against fault injection that differs between runs of one seed.
func TestLostAnswersFollowTheSeed(t *testing.T) {
	run := func() (lost []int) {
		h := start(t, Options{})
		require.NoError(t, h.service.SetLose(Lose{Probability: 0.5, Seed: 3}))
		for i := range 20 {
			if _, _, err := h.append("x"); err != nil {
				lost = append(lost, i)
			}
		}
		return lost
	}
	first := run()
	assert.NotEmpty(t, first)
	assert.Less(t, len(first), 20)
	assert.Equal(t, first, run())
}

// Guards against an outage that lets an append take effect, and reads that wait
// through an outage as if nothing had happened.
func TestOutage(t *testing.T) {
	h := start(t, Options{})
	waiting := make(chan int, 1)
	go func() {
		status, _ := h.call(http.MethodGet, "?wait_ms=5000", "", testTimeout, &wire.ReadReply{})
		waiting <- status
	}()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, h.service.SetOutage(Outage{MS: 60000}))
	assert.Equal(t, http.StatusServiceUnavailable, <-waiting)
	_, status, err := h.append("a")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, status)

	require.NoError(t, h.service.SetOutage(Outage{MS: 60000, Mode: OutageHang}))
	_, err = h.call(http.MethodPost, "", "b", 50*time.Millisecond, &wire.AppendReply{})
	assert.ErrorIs(t, err, context.DeadlineExceeded)

	require.NoError(t, h.service.SetOutage(Outage{}))
	offset, _, err := h.append("c")
	require.NoError(t, err)
	assert.Equal(t, int64(1), offset)
}

// Guards against a long poll that misses an append or returns before its time.
func TestLongPoll(t *testing.T) {
	h := start(t, Options{})
	begin := time.Now()
	assert.Empty(t, h.read("?from=1&wait_ms=50").Records)
	assert.GreaterOrEqual(t, time.Since(begin), 50*time.Millisecond)
	go func() {
		time.Sleep(20 * time.Millisecond)
		_, _, _ = h.append("late")
	}()
	reply := h.read("?from=1&wait_ms=4000")
	require.Len(t, reply.Records, 1)
	assert.Equal(t, "late", string(reply.Records[0].Data))
}

// Guards against a log without its limits: the scheduler's adaptive spacing and
// snapshots would never be exercised.
func TestLimitsAndRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Options{AppendsPerSecond: 100, RetainFor: time.Minute, RetainCount: 15, Now: func() time.Time { return now }})
	flood := func() (accepted int) {
		for range 100 {
			if _, _, ok := s.append("x", []byte("r")); ok {
				accepted++
			}
		}
		return accepted
	}
	assert.Equal(t, 11, flood(), "burst of 100 ms and the one that is due")
	now = now.Add(50 * time.Millisecond)
	assert.Equal(t, 5, flood())
	assert.Equal(t, StreamStats{First: 2, Next: 17, Bytes: 15}, s.Stats().Streams["x"])
	now = now.Add(2 * time.Minute)
	reply, _, _ := s.read(readQuery{name: "x", from: 3, limit: 10})
	assert.Equal(t, wire.ReadReply{First: 17, Next: 17, Records: []wire.LogRecord{}}, reply)

	h := start(t, Options{})
	_, status, err := h.append(strings.Repeat("x", MaxRecordBytes+1))
	require.NoError(t, err)
	assert.Equal(t, http.StatusRequestEntityTooLarge, status)
}
