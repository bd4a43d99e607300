package load

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/standin/worker"
)

// Guards against quantiles that leave out the slowest request of a small sample.
func TestQuantileIsNeverBelowItsShare(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	for q, want := range map[float64]time.Duration{0: 1, 0.5: 5, 0.9: 9, 0.91: 10, 0.99: 10, 0.999: 10, 1: 10} {
		assert.Equal(t, want, quantile(sorted, q), "q %v", q)
	}
	assert.Zero(t, quantile(nil, 0.99))
}

// Guards against a refusal, or an answer cut short, that counts as success.
func TestJudgeTellsOutcomesApart(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   kind
	}{
		{200, "anything", answered},
		{202, `{"id":"dr-1"}`, answered},
		{503, `{"outcome":"not-run"}`, refused},
		{504, `{"outcome":"unknown"}`, unknown},
		{502, `{"outcome":"ran"}`, failed},
		{502, `<html>`, broken},
		{503, `{}`, broken},
	} {
		a := answer{kind: broken}
		a.judge(c.status, []byte(c.body))
		assert.Equal(t, c.want, a.kind, "%d %s", c.status, c.body)
	}
}

// Guards against offsets in the kernel's structures that do not fit: traffic would
// be wrong without any error.
func TestFlowsCountPayload(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp4", listener.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	require.NoError(t, err)
	defer func() { _ = server.Close() }()
	const size = 1000
	_, err = client.Write(make([]byte, size))
	require.NoError(t, err)
	_, err = server.Read(make([]byte, size))
	require.NoError(t, err)

	found, err := flows()
	require.NoError(t, err)
	for _, f := range found {
		if f.local == portOf(listener.Addr().String()) && f.remote == portOf(client.LocalAddr().String()) {
			assert.Equal(t, int64(size), f.bytes)
			assert.Equal(t, int64(1), f.segments)
			return
		}
	}
	assert.Fail(t, "the connection is not listed")
}

// Guards against half a journal line that is taken for none and lost.
func TestJournalsAreReadByWholeLines(t *testing.T) {
	x := startIndex{jobs: map[string][]start{}, ends: map[string]int{}}
	x.add(worker.Entry{Event: worker.EventStart, Job: "j", ID: "j/0", VM: "vm-1", TimeUS: 1})
	x.add(worker.Entry{Event: worker.EventStart, ID: "request"})
	x.add(worker.Entry{Event: worker.EventOverload, Job: "j"})
	assert.Equal(t, 1, x.tasks)
	assert.Equal(t, 1, x.faults)
	read, err := x.scan(strings.NewReader("{\"event\":\"start\",\"job\":\"j\"}\n{\"event\":"))
	require.NoError(t, err)
	assert.Equal(t, int64(len("{\"event\":\"start\",\"job\":\"j\"}\n")), read)
	assert.Equal(t, 2, x.tasks)
}
