package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/config"
	"briarproxy/core/object"
	"briarproxy/core/record"
	"briarproxy/core/wire"
	"briarproxy/daemon/settings"
)

const testObjects = `[
	{"kind": "pool", "name": "p", "spec": {"regions": ["r"], "largest": {"cores": "1", "memory": "1GiB", "slots": 2}, "vms": 1}},
	{"kind": "policy", "name": "c", "spec": {"priority": 500, "deadline": "20s"}},
	{"kind": "team", "name": "t", "spec": {"weight": 1}},
	{"kind": "service", "name": "s", "spec": {"pool": "p", "team": "t",
		"operations": {"o": {"policy": "c", "idempotent": true, "run_time": "1s", "max_run_time": "20s"}}}},
]`

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (l *lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(line)
}

// events returns the numbers of the events among the wanted ones, in their order.
func (l *lines) events(t *testing.T, wanted ...int) []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var numbers []int
	for _, line := range strings.Split(strings.TrimSpace(l.data.String()), "\n") {
		var entry struct{ Event int }
		require.NoError(t, json.Unmarshal([]byte(line), &entry), line)
		for _, n := range wanted {
			if n == entry.Event {
				numbers = append(numbers, n)
			}
		}
	}
	return numbers
}

func startNode(t *testing.T, p *platform, log io.Writer) (n *Node, stop func(), stopped <-chan error) {
	s := settings.Defaults()
	s.Name, s.Region, s.DataCentre = "d1", "r", "d"
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Metrics: "127.0.0.1:0"}
	s.LogURL, s.VMListURL = "http://"+p.address, "http://"+p.address
	s.Lease = settings.Lease{Duration: time.Second, HeartbeatInterval: 200 * time.Millisecond}
	s.DrainDelay = 1500 * time.Millisecond
	n, err := New(s, log)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	return n, cancel, done
}

func publishTestObjects(t *testing.T, p *platform) {
	set, problems := object.Load(map[string][]byte{"objects.jsonc": []byte(testObjects)})
	require.Empty(t, problems)
	data, err := config.EncodePublication(config.Publication{ID: "one", Author: "a", Set: set})
	require.NoError(t, err)
	p.publish(wire.StreamConfig, data)
}

func (p *platform) released() int {
	units := map[string]bool{}
	for _, r := range p.records(wire.StreamMembers, 1) {
		decoded, _ := record.Decode(r.Data)
		for _, d := range decoded {
			if d.Release != nil {
				for _, u := range d.Release.Units {
					units[u.Name] = true
				}
			}
		}
	}
	return len(units)
}

// Guards against a planned stop that cuts off a request in flight (invariant 7),
// that stays ready for the load balancer, that refuses callers in the drain delay,
// or that releases its units while they are in use or not at all.
func TestPlannedStopEndsRequestsAndThenReleases(t *testing.T) {
	p := newPlatform()
	server := httptest.NewServer(p.handler())
	defer server.Close()
	defer p.end() // before the server waits for its requests
	p.address = strings.TrimPrefix(server.URL, "http://")
	publishTestObjects(t, p)
	log := &lines{}
	n, stop, stopped := startNode(t, p, log)
	ready := func() bool { ok, _ := n.Ready(); return ok }
	require.Eventually(t, ready, 10*time.Second, 10*time.Millisecond)
	got := make(chan string, 1)
	go func() { got <- post(n) }()
	select {
	case <-p.entered:
	case body := <-got:
		t.Fatal(body)
	}
	stop()
	require.Eventually(t, func() bool { return !ready() }, time.Second, time.Millisecond)
	response, err := http.Get("http://" + n.listeners.caller.Addr().String() + "/v1/none")
	require.NoError(t, err, "answered in the drain delay")
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	require.True(t, response.Close)
	time.Sleep(2 * time.Second) // past the drain delay
	require.Zero(t, p.released(), "a request in flight uses the units")
	p.end()
	require.Equal(t, "the whole answer", <-got)
	require.NoError(t, <-stopped)
	require.Equal(t, wire.ShardCount+1, p.released())
	require.Equal(t, []int{1000, 1001, 1002, 1008, 1003}, log.events(t, 1000, 1001, 1002, 1003, 1007, 1008))
	require.Contains(t, log.data.String(), `"clean":true`)
	require.Contains(t, log.data.String(), `"released":true`)
}

// post sends a request as soon as the node has slots, and returns the answer.
func post(n *Node) string {
	url := "http://" + n.listeners.caller.Addr().String() + "/v1/services/s/requests"
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body"))
	if err != nil {
		return err.Error()
	}
	request.Header.Set(wire.HeaderOperation, "o")
	request.Header.Set(wire.HeaderDeadlineMS, "15000")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return string(body)
}
