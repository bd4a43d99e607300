package integration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/platform"
)

// platformCell is a cell of real daemons on the stand-in of the users' platform.
type platformCell struct {
	t       *testing.T
	store   *platform.Store
	fleet   *platform.Fleet
	daemons []*process
	callers []string
	keep    int       // seconds for which the store keeps records
	address [2]string // of the store and the advice service
}

const (
	workerCores = 16000 // thousandths
	workerMemMB = 32768
	jobsPath    = "/jobs/"
	jobsHost    = "cell.example"
	anyPort     = "127.0.0.1:0"
)

func newPlatformCell(t *testing.T, daemons, workers int, advice bool) *platformCell {
	t.Helper()
	return startPlatformCell(&platformCell{t: t, store: platform.NewStore(), keep: 300}, daemons, workers, advice)
}

func startPlatformCell(c *platformCell, daemons, workers int, advice bool) *platformCell {
	t := c.t
	t.Helper()
	route := map[string]any{
		"Name": "jobs", "Host": jobsHost, "PathPrefix": jobsPath, "Type": "non_idempotent", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
		"Priority": 1, "Service": "pool", "MaxAttempts": 3, "SlackFactor": 2.0,
	}
	if advice {
		route["Advice"] = map[string]any{"DecideMs": 1.0, "EachMs": 0.1, "ValidMs": 1500}
	}
	manifest, err := json.Marshal(map[string]any{
		"Version": 1, "Routes": []any{route}, "Services": []any{map[string]any{"Name": "pool"}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	require.NoError(t, err)
	c.store.Put("keyed.op", "config", manifest)
	c.fleet, err = platform.NewFleet(c.store, "pool", workers, platform.Size{Cpu: workerCores, MemMb: workerMemMB})
	require.NoError(t, err)
	t.Cleanup(c.fleet.Close)
	store, adviser := httptest.NewServer(c.store), httptest.NewServer(c.fleet)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close(); adviser.Close() })
	t.Cleanup(c.showDecisions)
	c.address = [2]string{store.Listener.Addr().String(), adviser.Listener.Addr().String()}
	for i := range daemons {
		c.addDaemon(i)
	}
	return c
}

func (c *platformCell) addDaemon(i int) {
	name := fmt.Sprintf("d%d", i)
	settings := map[string]any{
		"name": name, "region": "r", "data_centre": "z",
		"listen":   map[string]any{"callers": anyPort, "ready": anyPort, "peers": anyPort, "metrics": anyPort},
		"platform": map[string]any{"store": c.address[0], "advice": c.address[1], "machines": ""},
		"limits":   map[string]any{"memory_mib": 256, "descriptors": 4096},
		"bounds": map[string]any{
			"max_lease_ms": 6000, "failover_ms": 3000, "early_ms": 250, "stop_ms": 900, "grace_s": 6, "status_s": 120, "keep_s": c.keep,
		},
	}
	data, err := json.Marshal(settings)
	require.NoError(c.t, err)
	file := filepath.Join(c.t.TempDir(), name+".jsonc")
	require.NoError(c.t, os.WriteFile(file, data, 0o600))
	p := startProcess(c.t, name, "briarproxyd", "serve", "--settings", file)
	c.daemons = append(c.daemons, p)
	c.callers = append(c.callers, callersAddress(p))
}

// showDecisions writes what the daemons decided, but for what goes well, if the test
// failed.
func (c *platformCell) showDecisions() {
	if !c.t.Failed() {
		return
	}
	for _, p := range c.daemons {
		p.mu.Lock()
		for _, line := range p.lines {
			if !strings.Contains(line, `"start sent"`) && !strings.Contains(line, `"reason":"done"`) && !strings.Contains(line, `"event":940`) {
				c.t.Log(line)
			}
		}
		p.mu.Unlock()
	}
}

// callersAddress waits for the line in which a daemon names its addresses.
func callersAddress(p *process) string {
	p.t.Helper()
	const event = 900 // cell-started
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		p.mu.Lock()
		lines := p.lines
		p.mu.Unlock()
		for _, line := range lines {
			var started struct {
				Event   int
				Callers string
			}
			if json.Unmarshal([]byte(line), &started) == nil && started.Event == event {
				return started.Callers
			}
		}
	}
	require.Fail(p.t, "a daemon does not start", p.name)
	return ""
}

// post hands a body in as a caller does; 0 is no answer.
func post(url string, body any) int {
	data, err := json.Marshal(body)
	if err != nil {
		return http.StatusBadRequest
	}
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return http.StatusBadRequest
	}
	req.Host = jobsHost
	req.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}

// call makes one call of a caller; status 0 is no answer.
func (c *platformCell) call(daemon int, method, id string, body any) (int, string) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		require.NoError(c.t, err)
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+c.callers[daemon]+jobsPath+id, payload)
	require.NoError(c.t, err)
	req.Host = jobsHost
	req.Header.Set("X-Deadline-Ms", "3000")
	client := &http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close() //nolint:errcheck // it is read whole
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// submit hands a job in, as callers do: again with the same id until it is accepted,
// through the next daemon.
func (c *platformCell) submit(daemon int, id string, steps ...map[string]any) {
	for try := range 60 {
		status, _ := c.call((daemon+try)%len(c.daemons), http.MethodPost, id, map[string]any{"Spec": "spec of " + id, "Steps": steps})
		if status == http.StatusOK {
			return
		}
		require.NotEqual(c.t, http.StatusBadRequest, status)
		time.Sleep(200 * time.Millisecond)
	}
	require.Fail(c.t, "job is not accepted", id)
}

func (c *platformCell) step(job string, index, count int, takes time.Duration, more map[string]any) map[string]any {
	c.fleet.SetStepPlan(job, index, platform.StepPlan{Size: platform.Size{Cpu: 4000, MemMb: 4096}, Takes: takes})
	step := map[string]any{"Count": count, "Cpu": 4000, "MemMb": 4096, "EstimateMs": takes.Milliseconds()}
	for k, v := range more {
		step[k] = v
	}
	return step
}

// completed waits until a daemon shows all jobs as completed.
func (c *platformCell) completed(daemon int, ids []string, within time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(within)
	for _, id := range ids {
		for {
			status, text := c.call(daemon, http.MethodGet, id, nil)
			if status == http.StatusOK && strings.Contains(text, "completed") {
				break
			}
			require.True(c.t, time.Now().Before(deadline), "job %s: %d %s", id, status, text)
			time.Sleep(50 * time.Millisecond)
		}
	}
	require.Empty(c.t, c.fleet.Violations())
}

// placer returns the daemon whose claim is the newest in the log.
func (c *platformCell) placer() int {
	placer := -1
	for _, record := range c.store.Records("briarproxy.jobs") {
		var r struct {
			Claim *struct {
				Daemon string `json:"d"`
			} `json:"l"`
		}
		if json.Unmarshal(record, &r) == nil && r.Claim != nil {
			_, err := fmt.Sscanf(r.Claim.Daemon, "d%d", &placer)
			require.NoError(c.t, err)
		}
	}
	return placer
}

// Guards against a path through the adapter that loses, doubles or never ends jobs: steps,
// gangs and advice with three daemons.
func TestPlatformJobsEnd(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, true)
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("%016x", 0xa000+i)
		first := c.step(id, 0, 3, 200*time.Millisecond, nil)
		second := c.step(id, 1, 2, 300*time.Millisecond, map[string]any{"StartAfter": []int{0}, "Gang": true})
		c.submit(i%3, id, first, second)
		ids = append(ids, id)
	}
	c.completed(1, ids, 30*time.Second)
	require.Equal(t, 12*5, c.fleet.Starts())
	status, _ := c.call(2, http.MethodGet, fmt.Sprintf("%016x", 0xbeef), nil)
	require.Equal(t, http.StatusGone, status)
}

// Guards against a takeover that starts what still runs, forgets what ended, or waits for
// leases that need not be waited for.
func TestPlatformPlacerKilled(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, false)
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xb000+i)
		c.submit(i%3, id, c.step(id, 0, 2, 2500*time.Millisecond, nil), c.step(id, 1, 1, 200*time.Millisecond, map[string]any{"StartAfter": []int{0}}))
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	victim := c.placer()
	require.GreaterOrEqual(t, victim, 0)
	require.NoError(t, c.daemons[victim].cmd.Process.Kill())
	c.completed((victim+1)%3, ids, 20*time.Second)
	require.Equal(t, 30, c.fleet.Starts(), "what ran during the takeover is not started again")
}

// Guards against a planned stop of the placer that leaves the cell without one.
func TestPlatformPlacerStopped(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 4, false)
	id := fmt.Sprintf("%016x", 0xc000)
	c.submit(0, id, c.step(id, 0, 2, 3*time.Second, nil))
	victim := c.placer()
	require.NoError(t, c.daemons[victim].cmd.Process.Signal(syscall.SIGTERM))
	next := fmt.Sprintf("%016x", 0xc001)
	c.submit(1-victim, next, c.step(next, 0, 1, 100*time.Millisecond, nil))
	c.completed(1-victim, []string{next}, 3*time.Second)
	c.completed(1-victim, []string{id}, 10*time.Second)
	require.Equal(t, 3, c.fleet.Starts())
}

// Guards against jobs that are accepted twice or lost when answers of the store are lost,
// and against a placer that does not go on after an outage.
func TestPlatformStoreLosesAnswersAndIsDown(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, false)
	var ids []string
	for i := range 8 {
		id := fmt.Sprintf("%016x", 0xd000+i)
		if i%2 == 0 {
			c.store.LoseAppendReplies(2)
		}
		c.submit(i%3, id, c.step(id, 0, 2, 2*time.Second, nil))
		ids = append(ids, id)
	}
	c.store.SetUnavailable(true)
	time.Sleep(3500 * time.Millisecond)
	status, _ := c.call(0, http.MethodPost, fmt.Sprintf("%016x", 0xdead), map[string]any{"Spec": "x", "Steps": []any{c.step("0", 0, 1, time.Second, nil)}})
	require.Equal(t, http.StatusServiceUnavailable, status, "a refusing store has not stored anything, so the job is rejected")
	c.store.SetUnavailable(false)
	c.completed(2, ids, 20*time.Second)
	require.Equal(t, 16, c.fleet.Starts(), "tasks run on under their leases while the store is down")
}

// Guards against a task that is given up because its end was lost with its worker's life
// before it could be recorded, and against one that ran being shown as done without a
// record. Workers forget such ends, so the second run is allowed.
func TestPlatformWorkerRestartsBeforeItsEndIsRecorded(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 1, false)
	id := fmt.Sprintf("%016x", 0xd100)
	c.submit(0, id, c.step(id, 0, 1, 600*time.Millisecond, nil))
	require.Eventually(t, func() bool { return c.fleet.Starts() == 1 }, 5*time.Second, 10*time.Millisecond)
	c.store.SetUnavailable(true)
	time.Sleep(1200 * time.Millisecond) // the task ends, and the placer can't record that
	placer := c.placer()
	c.daemons[placer].kill()
	c.fleet.Restart("i-0000")
	c.store.SetUnavailable(false)
	c.completed(1-placer, []string{id}, 30*time.Second)
	require.Equal(t, 2, c.fleet.Starts())
}

// Guards against jobs that are lost with records that the log keeps for a limited time: a
// daemon that starts later, without any older one, must know them and go on with them.
func TestPlatformHistoryExpires(t *testing.T) {
	t.Parallel()
	t.Run("of the log", func(t *testing.T) { historyExpires(t, false) })
	t.Run("of the log and the snapshots", func(t *testing.T) { historyExpires(t, true) })
}

func historyExpires(t *testing.T, snapshots bool) {
	t.Parallel()
	c := startPlatformCell(&platformCell{t: t, store: platform.NewStore(), keep: 5}, 2, 4, false)
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("%016x", 0xe000+i)
		takes := 100 * time.Millisecond
		if i%2 == 0 {
			takes = 6 * time.Second
		}
		c.submit(i%2, id, c.step(id, 0, 2, takes, nil), c.step(id, 1, 1, 100*time.Millisecond, map[string]any{"StartAfter": []int{0}}))
		ids = append(ids, id)
	}
	time.Sleep(2500 * time.Millisecond)
	c.store.Expire("briarproxy.jobs", 3)
	for part := 0; part < 3 && snapshots; part++ {
		c.store.ExpirePartition("keyed.briarproxy", part, 0) // the newest of each key stay
	}
	for _, d := range c.daemons {
		require.NoError(t, d.cmd.Process.Kill())
	}
	c.addDaemon(2)
	c.completed(2, ids, 20*time.Second)
	require.Equal(t, 18, c.fleet.Starts(), "what ran is adopted, what ended does not run again")
}

// Guards against an id that can't be followed to the decisions on its job.
func TestPlatformIdLeadsToTheDecisions(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 2, false)
	id := fmt.Sprintf("%016x", 0xf000)
	c.submit(0, id, c.step(id, 0, 1, 100*time.Millisecond, nil))
	c.completed(0, []string{id}, 5*time.Second)
	for _, wanted := range []string{"job-accepted", "start sent", "run ended"} {
		require.Eventually(t, func() bool { return c.logged(id, wanted) }, 3*time.Second, 50*time.Millisecond, wanted)
	}
}

// logged reports whether a daemon wrote a line with both texts.
func (c *platformCell) logged(id, text string) bool {
	for _, p := range c.daemons {
		p.mu.Lock()
		lines := p.lines
		p.mu.Unlock()
		for _, line := range lines {
			if strings.Contains(line, id) && strings.Contains(line, text) {
				return true
			}
		}
	}
	return false
}
