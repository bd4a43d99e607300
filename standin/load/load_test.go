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

// Guards against a quantile of a small sample that leaves out its slowest request.
func TestQuantileIsNeverBelowItsShare(t *testing.T) {
	sorted := []time.Duration{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}
	for q, want := range map[float64]time.Duration{0: 1, 0.5: 5, 0.9: 9, 0.91: 10, 0.99: 10, 0.999: 10, 1: 10} {
		assert.Equal(t, want, quantile(sorted, q), "q %v", q)
	}
	assert.Zero(t, quantile(nil, 0.99))
}

// Guards against a refusal or a truncated answer that is counted as a success.
func TestSetOutcomeDistinguishesOutcomes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   outcome
	}{
		{200, "anything", outcomeAnswered},
		{202, `{"id":"dr-1"}`, outcomeAnswered},
		{503, `{"outcome":"not-run"}`, outcomeRefused},
		{504, `{"outcome":"unknown"}`, outcomeUnknown},
		{502, `{"outcome":"ran"}`, outcomeFailed},
		{502, `<html>`, outcomeBroken},
		{503, `{}`, outcomeBroken},
	} {
		result := requestResult{outcome: outcomeBroken}
		result.setOutcome(c.status, []byte(c.body))
		assert.Equal(t, c.want, result.outcome, "%d %s", c.status, c.body)
	}
}

// Guards against wrong offsets into the kernel's structures, which would give wrong
// traffic figures without an error.
func TestConnectionsCountPayload(t *testing.T) {
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

	found, err := listConnections()
	require.NoError(t, err)
	for _, conn := range found {
		if conn.localPort == portOf(listener.Addr().String()) && conn.remotePort == portOf(client.LocalAddr().String()) {
			assert.Equal(t, int64(size), conn.bytes)
			assert.Equal(t, int64(1), conn.segments)
			return
		}
	}
	assert.Fail(t, "the connection is not listed")
}

// Guards against a partly written journal line that is counted as read and thus lost.
func TestJournalsAreReadByWholeLines(t *testing.T) {
	x := journalIndex{startsByJob: map[string][]taskStart{}, endsByJob: map[string]int{}}
	x.addEntry(worker.Entry{Event: worker.EventStart, Job: "j", ID: "j/0", VM: "vm-1", TimeUS: 1})
	x.addEntry(worker.Entry{Event: worker.EventStart, ID: "request"})
	x.addEntry(worker.Entry{Event: worker.EventOverload, Job: "j"})
	assert.Equal(t, 1, x.taskStarts)
	assert.Equal(t, 1, x.capacityViolations)
	read, err := x.readLines(strings.NewReader("{\"event\":\"start\",\"job\":\"j\"}\n{\"event\":"))
	require.NoError(t, err)
	assert.Equal(t, int64(len("{\"event\":\"start\",\"job\":\"j\"}\n")), read)
	assert.Equal(t, 2, x.taskStarts)
}
