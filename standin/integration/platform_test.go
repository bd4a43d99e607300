package integration

import (
	"bytes"
	"cmp"
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

// platformCell is a cell of real daemons that run on the simulated platform.
type platformCell struct {
	t                *testing.T
	store            *platform.Store
	fleet            *platform.Fleet
	daemons          []*process
	callerAddresses  []string
	settingsFiles    []string
	retentionSeconds int           // How long the store retains records.
	maxLease         time.Duration // The longest lease that workers grant.
	serviceAddresses [2]string     // The addresses of the store and the advice service, in this order.
	operator         *platform.Operator
	workspaces       []platform.Workspace
	revokeMS         int64                   // How long a key may work after it was taken away; 0 means no bound.
	workspaceOf      func(job string) string // The workspace of a job; nil if there are none.
	memoryMiB        int                     // The daemons' limits.memory_mib; 0 is defaultMemoryMiB.
	descriptors      int                     // The daemons' limits.descriptors; 0 is defaultDescriptors.
}

const (
	workerMilliCores = 16000
	workerMemoryMB   = 32768
	jobsPath         = "/jobs/"
	jobsHost         = "cell.example"
	loopbackAnyPort  = "127.0.0.1:0"
	defaultMaxLease  = 6 * time.Second

	defaultMemoryMiB   = 256
	defaultDescriptors = 4096
)

func newPlatformCell(t *testing.T, daemons, workers int, advice bool) *platformCell {
	t.Helper()
	return startPlatformCell(&platformCell{t: t, store: platform.NewStore(), retentionSeconds: 300, maxLease: defaultMaxLease}, daemons, workers, advice)
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
	c.operator = platform.NewOperator(c.store, map[string]any{
		"Routes": []any{route}, "Services": []any{map[string]any{"Name": "pool"}},
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}, c.workspaces...)
	var err error
	c.fleet, err = platform.NewFleet(c.store, "pool", workers, platform.Size{Cpu: workerMilliCores, MemMb: workerMemoryMB}, c.maxLease)
	require.NoError(t, err)
	t.Cleanup(c.fleet.Close)
	for _, w := range c.workspaces {
		c.fleet.SetMaximum(w.Name, w.Maximum)
	}
	store, adviser := httptest.NewServer(c.store), httptest.NewServer(c.fleet)
	t.Cleanup(func() { store.CloseClientConnections(); store.Close(); adviser.Close() })
	t.Cleanup(c.logDecisionsOnFailure)
	c.serviceAddresses = [2]string{store.Listener.Addr().String(), adviser.Listener.Addr().String()}
	for i := range daemons {
		c.addDaemon(i)
	}
	return c
}

// restartDaemon starts a daemon that has ended again, under its name and with its settings.
func (c *platformCell) restartDaemon(i int) {
	p := startProcess(c.t, c.daemons[i].name, "briarproxyd", "serve", "--settings", c.settingsFiles[i])
	c.daemons[i], c.callerAddresses[i] = p, waitCallerAddress(p)
}

func (c *platformCell) addDaemon(i int) {
	name := fmt.Sprintf("d%d", i)
	settings := map[string]any{
		"name": name, "region": "r", "data_centre": "z",
		"listen":   map[string]any{"callers": loopbackAnyPort, "ready": loopbackAnyPort, "peers": loopbackAnyPort, "metrics": loopbackAnyPort},
		"platform": map[string]any{"store": c.serviceAddresses[0], "advice": c.serviceAddresses[1], "machines": ""},
		"limits":   map[string]any{"memory_mib": cmp.Or(c.memoryMiB, defaultMemoryMiB), "descriptors": cmp.Or(c.descriptors, defaultDescriptors)},
		"bounds": map[string]any{
			"max_lease_ms": c.maxLease.Milliseconds(), "failover_ms": 3000, "early_ms": 250, "stop_ms": 900, "grace_s": 6, "status_s": 120, "keep_s": c.retentionSeconds, "revoke_ms": c.revokeMS,
		},
	}
	data, err := json.Marshal(settings)
	require.NoError(c.t, err)
	file := filepath.Join(c.t.TempDir(), name+".jsonc")
	require.NoError(c.t, os.WriteFile(file, data, 0o600))
	p := startProcess(c.t, name, "briarproxyd", "serve", "--settings", file)
	c.daemons = append(c.daemons, p)
	c.settingsFiles = append(c.settingsFiles, file)
	c.callerAddresses = append(c.callerAddresses, waitCallerAddress(p))
}

// logDecisionsOnFailure logs the output of the daemons if the test failed. It omits the
// lines about sent starts, successful runs and accepted jobs.
func (c *platformCell) logDecisionsOnFailure() {
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

// waitCallerAddress waits until the daemon has logged its addresses and returns the one
// for callers.
func waitCallerAddress(p *process) string { return waitAddresses(p).Callers }

// daemonAddresses are the addresses that a daemon has logged.
type daemonAddresses struct{ Callers, Ready, Peers, Metrics string }

// waitAddresses waits until the daemon has logged its addresses and returns them.
func waitAddresses(p *process) daemonAddresses {
	p.t.Helper()
	const event = 900 // The event's name is cell-started.
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		p.mu.Lock()
		lines := p.lines
		p.mu.Unlock()
		for _, line := range lines {
			var started struct {
				Event int
				daemonAddresses
			}
			if json.Unmarshal([]byte(line), &started) == nil && started.Event == event {
				return started.daemonAddresses
			}
		}
	}
	require.Fail(p.t, "the daemon did not log its addresses", p.name)
	return daemonAddresses{}
}

// key returns a key with which a job may be called, or "" without workspaces.
func (c *platformCell) key(job string) string {
	if c.workspaceOf == nil {
		return ""
	}
	return c.operator.Key(c.workspaceOf(job))
}

// callDaemon sends one caller request to a daemon and returns the HTTP status and the
// body. The status is 0 if there was no complete response.
func (c *platformCell) callDaemon(daemon int, method, id string, body any) (int, string) {
	return callAddress(c.callerAddresses[daemon], method, id, c.key(id), body)
}

// callAddress sends one caller request, with a key if it is not empty. It returns the HTTP status,
// 0 if there was no complete response, and the body.
func callAddress(address, method, id, key string, body any) (int, string) {
	return callAddressWithin(3*time.Second, address, method, id, key, body)
}

// callAddressWithin is like callAddress for a caller that leaves after some time.
func callAddressWithin(patience time.Duration, address, method, id, key string, body any) (int, string) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return http.StatusBadRequest, err.Error()
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+address+jobsPath+id, payload)
	if err != nil {
		return http.StatusBadRequest, err.Error()
	}
	req.Host = jobsHost
	req.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	client := &http.Client{Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close() //nolint:errcheck // The body is read to its end.
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(text)
}

// submit submits a job as callers do: it retries with the same ID through the next
// daemon until the job is accepted.
func (c *platformCell) submit(daemon int, id string, steps ...map[string]any) {
	for try := range 60 {
		status, _ := c.callDaemon((daemon+try)%len(c.daemons), http.MethodPost, id, map[string]any{"Spec": "spec of " + id, "Steps": steps})
		if status == http.StatusOK {
			return
		}
		require.NotEqual(c.t, http.StatusBadRequest, status)
		time.Sleep(200 * time.Millisecond)
	}
	require.Fail(c.t, "job was not accepted", id)
}

func (c *platformCell) newStep(job string, index, count int, duration time.Duration, extra map[string]any) map[string]any {
	maxPerWorker, _ := extra["AntiAffinity"].(int)
	plan := platform.StepPlan{Size: platform.Size{Cpu: 4000, MemMb: 4096}, Takes: duration, MaxPerWorker: maxPerWorker}
	if c.workspaceOf != nil {
		plan.Workspace = c.workspaceOf(job)
	}
	c.fleet.SetStepPlan(job, index, plan)
	step := map[string]any{"Count": count, "Cpu": 4000, "MemMb": 4096, "EstimateMs": duration.Milliseconds()}
	for k, v := range extra {
		step[k] = v
	}
	return step
}

// waitCompleted waits until a daemon reports all jobs as completed, and then checks that
// the workers saw no violations.
func (c *platformCell) waitCompleted(daemon int, ids []string, timeout time.Duration) {
	c.t.Helper()
	deadline := time.Now().Add(timeout)
	for _, id := range ids {
		for {
			status, text := c.callDaemon(daemon, http.MethodGet, id, nil)
			if status == http.StatusOK && strings.Contains(text, "completed") {
				break
			}
			require.True(c.t, time.Now().Before(deadline), "job %s: %d %s", id, status, text)
			time.Sleep(50 * time.Millisecond)
		}
	}
	require.Empty(c.t, c.fleet.Violations())
}

// currentPlacer returns the index of the daemon with the latest claim in the log, or -1
// if there is none.
func (c *platformCell) currentPlacer() int {
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

// Guards against an accepted gang with AntiAffinity that is never started in an idle service.
func TestPlatformGangWithAntiAffinityStarts(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, true)
	var ids []string
	for limit := 1; limit <= 2; limit++ {
		id := fmt.Sprintf("%016x", 0xaf00+limit)
		c.submit(limit, id, c.newStep(id, 0, 4, 300*time.Millisecond, map[string]any{"Gang": true, "AntiAffinity": limit}))
		ids = append(ids, id)
	}
	c.waitCompleted(0, ids, 30*time.Second)
	require.Equal(t, 2*4, c.fleet.Starts())
}

// Guards against a job that runs although its cancellation was acknowledged, because the store carries its submission
// out later: its caller had left without an answer and cancelled it at another daemon.
func TestPlatformCancelledJobWithALateSubmissionDoesNotRun(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 4, false)
	first := fmt.Sprintf("%016x", 0xcc00)
	c.submit(0, first, c.newStep(first, 0, 1, 100*time.Millisecond, nil))
	c.waitCompleted(0, []string{first}, 15*time.Second)
	late := fmt.Sprintf("%016x", 0xcc01)
	step := c.newStep(late, 0, 2, 10*time.Second, nil)
	c.store.HoldAppends()
	status, _ := callAddressWithin(600*time.Millisecond, c.callerAddresses[0], http.MethodPost, late, "", map[string]any{"Spec": "spec of " + late, "Steps": []any{step}})
	require.Zero(t, status)
	c.store.AnswerAppends()
	require.Eventually(t, func() bool {
		status, _ := c.callDaemon(1, http.MethodDelete, late, nil)
		return status == http.StatusGone || status == http.StatusOK
	}, 5*time.Second, 20*time.Millisecond)
	require.Positive(t, c.store.CarryOutHeldAppends())
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		require.Equal(t, 1, c.fleet.Starts(), "a task of the cancelled job has started")
	}
	status, text := c.callDaemon(2, http.MethodGet, late, nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, text, "cancelled")
}

// Guards against jobs that are lost, run twice or never complete on the platform. The
// jobs have steps and gangs, and three daemons use the advice service.
func TestPlatformJobsComplete(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, true)
	var ids []string
	for i := range 12 {
		id := fmt.Sprintf("%016x", 0xa000+i)
		first := c.newStep(id, 0, 3, 200*time.Millisecond, nil)
		second := c.newStep(id, 1, 2, 300*time.Millisecond, map[string]any{"StartAfter": []int{0}, "Gang": true})
		c.submit(i%3, id, first, second)
		ids = append(ids, id)
	}
	c.waitCompleted(1, ids, 30*time.Second)
	require.Equal(t, 12*5, c.fleet.Starts())
	status, _ := c.callDaemon(2, http.MethodGet, fmt.Sprintf("%016x", 0xbeef), nil)
	require.Equal(t, http.StatusGone, status)
}

// Guards against a placer takeover that starts running tasks again, forgets tasks that
// have ended, or waits for leases needlessly.
func TestPlatformPlacerKilled(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, false)
	var ids []string
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xb000+i)
		c.submit(i%3, id, c.newStep(id, 0, 2, 2500*time.Millisecond, nil), c.newStep(id, 1, 1, 200*time.Millisecond, map[string]any{"StartAfter": []int{0}}))
		ids = append(ids, id)
	}
	time.Sleep(500 * time.Millisecond)
	victim := c.currentPlacer()
	require.GreaterOrEqual(t, victim, 0)
	require.NoError(t, c.daemons[victim].cmd.Process.Kill())
	c.waitCompleted((victim+1)%3, ids, 20*time.Second)
	require.Equal(t, 30, c.fleet.Starts(), "tasks that run during the takeover must not be started again")
}

// Guards against a graceful stop of the placer that leaves the cell without a placer.
func TestPlatformPlacerStopped(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 4, false)
	id := fmt.Sprintf("%016x", 0xc000)
	c.submit(0, id, c.newStep(id, 0, 2, 3*time.Second, nil))
	victim := c.currentPlacer()
	require.NoError(t, c.daemons[victim].cmd.Process.Signal(syscall.SIGTERM))
	next := fmt.Sprintf("%016x", 0xc001)
	c.submit(1-victim, next, c.newStep(next, 0, 1, 100*time.Millisecond, nil))
	c.waitCompleted(1-victim, []string{next}, 3*time.Second)
	c.waitCompleted(1-victim, []string{id}, 10*time.Second)
	require.Equal(t, 3, c.fleet.Starts())
}

// Guards against jobs that are accepted twice or lost when replies of the store are lost,
// and against a placer that does not resume after an outage of the store.
func TestPlatformStoreRepliesLostAndOutage(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 8, false)
	var ids []string
	for i := range 8 {
		id := fmt.Sprintf("%016x", 0xd000+i)
		if i%2 == 0 {
			c.store.LoseAppendReplies(2)
		}
		c.submit(i%3, id, c.newStep(id, 0, 2, 2*time.Second, nil))
		ids = append(ids, id)
	}
	c.store.SetUnavailable(true)
	time.Sleep(3500 * time.Millisecond)
	status, _ := c.callDaemon(0, http.MethodPost, fmt.Sprintf("%016x", 0xdead), map[string]any{"Spec": "x", "Steps": []any{c.newStep("0", 0, 1, time.Second, nil)}})
	require.Equal(t, http.StatusServiceUnavailable, status, "the unavailable store has not stored the job, so it must be rejected")
	c.store.SetUnavailable(false)
	c.waitCompleted(2, ids, 20*time.Second)
	require.Equal(t, 16, c.fleet.Starts(), "tasks must continue under their leases during the outage of the store")
}

// Guards against abandoning a task whose end was lost in a worker restart before it could
// be recorded, and against reporting such a task as done without a record. Workers do not
// remember such ends across restarts, so a second run is allowed.
func TestPlatformWorkerRestartsBeforeTaskEndIsRecorded(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 1, false)
	id := fmt.Sprintf("%016x", 0xd100)
	c.submit(0, id, c.newStep(id, 0, 1, 600*time.Millisecond, nil))
	require.Eventually(t, func() bool { return c.fleet.Starts() == 1 }, 5*time.Second, 10*time.Millisecond)
	c.store.SetUnavailable(true)
	time.Sleep(1200 * time.Millisecond) // The task ends, and the placer cannot record that.
	placer := c.currentPlacer()
	c.daemons[placer].kill()
	c.fleet.Restart("i-0000")
	c.store.SetUnavailable(false)
	c.waitCompleted(1-placer, []string{id}, 30*time.Second)
	require.Equal(t, 2, c.fleet.Starts())
}

// Guards against a task that runs twice: its restarted worker, which the next placer can't reach, keeps it
// under a lease that a command to the former incarnation has set.
func TestPlatformTaskRunsOnceOnARestartedWorkerThatIsCutOff(t *testing.T) {
	t.Parallel()
	c := startPlatformCell(&platformCell{t: t, store: platform.NewStore(), retentionSeconds: 300, maxLease: 10 * time.Second}, 2, 3, false)
	first, second := fmt.Sprintf("%016x", 0xd200), fmt.Sprintf("%016x", 0xd201)
	c.submit(0, first, c.newStep(first, 0, 8, 100*time.Millisecond, nil))
	c.waitCompleted(0, []string{first}, 10*time.Second)
	c.fleet.Restart("i-0000")
	c.submit(0, second, c.newStep(second, 0, 9, 9500*time.Millisecond, nil))
	require.Eventually(t, func() bool { return c.fleet.RunsOn("i-0000") > 0 }, 5*time.Second, time.Millisecond)
	c.fleet.Silence("i-0000")
	placer := c.currentPlacer()
	c.daemons[placer].kill()
	c.addDaemon(placer) // Its start tells the next placer that the former process has ended.
	c.waitCompleted(1-placer, []string{second}, 60*time.Second)
}

// Guards against losing jobs when their log records expire. A daemon that starts after all
// others have been killed must know the jobs and continue them.
func TestPlatformHistoryExpires(t *testing.T) {
	t.Parallel()
	t.Run("log expired", func(t *testing.T) { testHistoryExpiry(t, false) })
	t.Run("log and snapshots expired", func(t *testing.T) { testHistoryExpiry(t, true) })
}

func testHistoryExpiry(t *testing.T, snapshots bool) {
	t.Parallel()
	c := startPlatformCell(&platformCell{t: t, store: platform.NewStore(), retentionSeconds: 5, maxLease: defaultMaxLease}, 2, 4, false)
	var ids []string
	for i := range 6 {
		id := fmt.Sprintf("%016x", 0xe000+i)
		duration := 100 * time.Millisecond
		if i%2 == 0 {
			duration = 6 * time.Second
		}
		c.submit(i%2, id, c.newStep(id, 0, 2, duration, nil), c.newStep(id, 1, 1, 100*time.Millisecond, map[string]any{"StartAfter": []int{0}}))
		ids = append(ids, id)
	}
	time.Sleep(2500 * time.Millisecond)
	c.store.Expire("briarproxy.jobs", 3)
	for part := 0; part < 3 && snapshots; part++ {
		c.store.ExpirePartition("keyed.briarproxy", part, 0) // The newest record of each key remains.
	}
	for _, d := range c.daemons {
		require.NoError(t, d.cmd.Process.Kill())
	}
	c.addDaemon(2)
	c.waitCompleted(2, ids, 20*time.Second)
	require.Equal(t, 18, c.fleet.Starts(), "running tasks must be adopted, and ended tasks must not run again")
}

// Guards against an accepted job that is lost because placers are killed sooner than they save a snapshot: daemons that start
// after the log has expired know neither a snapshot nor the record of the job.
func TestPlatformKilledPlacersKeepTheHistory(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 3, 4, false)
	id := fmt.Sprintf("%016x", 0xe100)
	c.submit(0, id, c.newStep(id, 0, 2, time.Hour, map[string]any{"LongRunning": true}))
	require.Eventually(t, func() bool { return c.fleet.Starts() == 2 }, 15*time.Second, 20*time.Millisecond)
	for range 3 {
		killed := c.currentPlacer()
		require.NoError(t, c.daemons[killed].cmd.Process.Kill())
		require.Eventually(t, func() bool { return c.currentPlacer() != killed }, 15*time.Second, 20*time.Millisecond)
		c.restartDaemon(killed)
		time.Sleep(time.Second)
	}
	c.store.Expire("briarproxy.jobs", 1)
	time.Sleep(2 * time.Second) // a daemon that follows the log writes a snapshot that reaches the records that are left
	for i := range c.daemons {
		if i != c.currentPlacer() {
			require.NoError(t, c.daemons[i].cmd.Process.Kill())
			c.restartDaemon(i)
		}
	}
	c.requireKnown(id)
}

// requireKnown requires that every daemon comes to know the job, and that none denies it meanwhile.
func (c *platformCell) requireKnown(id string) {
	for i := range c.daemons {
		status := 0
		for end := time.Now().Add(20 * time.Second); status != http.StatusOK && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			status, _ = c.callDaemon(i, http.MethodGet, id, nil)
			require.NotEqual(c.t, http.StatusGone, status, "daemon %d", i)
		}
		require.Equal(c.t, http.StatusOK, status, "daemon %d", i)
	}
}

// Guards against an accepted job that is lost because all daemons stop before a snapshot covers it, and start again only after
// the log has expired.
func TestPlatformStopOfAllDaemonsKeepsTheHistory(t *testing.T) {
	t.Parallel()
	t.Run("together", func(t *testing.T) { testStopOfAllDaemons(t, false) })
	t.Run("in turn", func(t *testing.T) { testStopOfAllDaemons(t, true) })
}

func testStopOfAllDaemons(t *testing.T, inTurn bool) {
	t.Parallel()
	c := newPlatformCell(t, 3, 4, false)
	ids := []string{fmt.Sprintf("%016x", 0xe300), fmt.Sprintf("%016x", 0xe301)}
	c.submit(0, ids[0], c.newStep(ids[0], 0, 1, time.Hour, map[string]any{"LongRunning": true}))
	require.Eventually(t, func() bool { return c.fleet.Starts() == 1 }, 15*time.Second, 20*time.Millisecond)
	placer := c.currentPlacer()
	killed, last := (placer+1)%3, (placer+2)%3
	c.daemons[killed].kill()
	c.daemons[placer].terminate()
	if inTurn {
		require.Zero(t, c.daemons[placer].waitExit(6*time.Second))
	}
	c.submit(last, ids[1], c.newStep(ids[1], 0, 1, time.Hour, map[string]any{"LongRunning": true}))
	c.daemons[last].terminate()
	require.Zero(t, c.daemons[placer].waitExit(6*time.Second))
	require.Zero(t, c.daemons[last].waitExit(6*time.Second))
	c.store.Expire("briarproxy.jobs", 0)
	for i := range c.daemons {
		c.restartDaemon(i)
	}
	for _, id := range ids {
		c.requireKnown(id)
	}
}

// Guards against daemons that deny a job whose records were lost with all daemons that had read them, and against a cell that
// accepts no jobs afterwards.
func TestPlatformLostHistoryIsNotDenied(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 4, false)
	lost, next := fmt.Sprintf("%016x", 0xe200), fmt.Sprintf("%016x", 0xe201)
	c.submit(0, lost, c.newStep(lost, 0, 1, time.Hour, map[string]any{"LongRunning": true}))
	require.Eventually(t, func() bool { return c.fleet.Starts() == 1 }, 15*time.Second, 20*time.Millisecond)
	for _, d := range c.daemons {
		d.kill()
	}
	c.store.Expire("briarproxy.jobs", 1)
	for i := range c.daemons {
		c.restartDaemon(i)
	}
	requireNotDenied := func(period time.Duration) {
		for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for i := range c.daemons {
				status, text := c.callDaemon(i, http.MethodGet, lost, nil)
				require.Equal(t, http.StatusServiceUnavailable, status, "daemon %d: %s", i, text)
			}
		}
	}
	requireNotDenied(9 * time.Second) // They wait for a daemon with all records, and then give up.
	c.submit(1, next, c.newStep(next, 0, 1, 100*time.Millisecond, nil))
	c.waitCompleted(0, []string{next}, 20*time.Second)
	requireNotDenied(time.Second)
}

// Guards against logged decisions that cannot be found by their job's ID.
func TestPlatformDecisionsLoggedWithJobID(t *testing.T) {
	t.Parallel()
	c := newPlatformCell(t, 2, 2, false)
	id := fmt.Sprintf("%016x", 0xf000)
	c.submit(0, id, c.newStep(id, 0, 1, 100*time.Millisecond, nil))
	c.waitCompleted(0, []string{id}, 5*time.Second)
	for _, wanted := range []string{"job-accepted", "start sent", "run ended"} {
		require.Eventually(t, func() bool { return c.hasLogged(id, wanted) }, 3*time.Second, 50*time.Millisecond, wanted)
	}
}

// hasLogged reports whether a daemon has logged a line that contains both texts.
func (c *platformCell) hasLogged(jobID, text string) bool {
	for _, p := range c.daemons {
		p.mu.Lock()
		lines := p.lines
		p.mu.Unlock()
		for _, line := range lines {
			if strings.Contains(line, jobID) && strings.Contains(line, text) {
				return true
			}
		}
	}
	return false
}
