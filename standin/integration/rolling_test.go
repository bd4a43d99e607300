package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/faultproxy"
)

// Parameters of the rolling stop test.
const (
	rollingCallerCount      = 24
	minGraceLeft            = 450 * time.Millisecond // A process must exit more than this long before the grace period ends.
	lossMargin              = 200 * time.Millisecond // See requestOutcome.isLost.
	callerTimeout           = 3 * time.Second
	balancerMaxFailedChecks = 2
	balancerCheckInterval   = time.Second
	minSignalGap            = 800 * time.Millisecond
	signalGapJitter         = 400 * time.Millisecond
	overlapSignalGap        = 100 * time.Millisecond // Used in every second round, so that no daemon is in rotation.
	defaultRollingDuration  = 14 * time.Second
	rollingPollInterval     = 20 * time.Millisecond
	maxStoreDelayMS         = 1200 // In each direction.
)

// loadBalancer distributes new connections as the platform does. It checks each daemon
// once per second and removes a daemon from rotation after two consecutive failed checks.
// If fewer than half of the daemons are in rotation, it uses all of them.
type loadBalancer struct {
	mu              sync.Mutex
	callerAddresses []string
	readyAddresses  []string
	failedChecks    []int
}

func (b *loadBalancer) setAddresses(i int, callers, ready string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callerAddresses[i], b.readyAddresses[i] = callers, ready
}

func (b *loadBalancer) checkReadiness(ctx context.Context, i int) {
	client := &http.Client{Timeout: balancerCheckInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		b.mu.Lock()
		address := b.readyAddresses[i]
		b.mu.Unlock()
		response, err := client.Get("http://" + address + "/ready")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close() // Only the status is used.
		}
		b.mu.Lock()
		if b.failedChecks[i]++; ready {
			b.failedChecks[i] = 0
		}
		b.mu.Unlock()
		time.Sleep(balancerCheckInterval)
	}
}

// pickDaemon returns the caller address of a random daemon in rotation.
func (b *loadBalancer) pickDaemon() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var inRotation []string
	for i, address := range b.callerAddresses {
		if b.failedChecks[i] < balancerMaxFailedChecks {
			inRotation = append(inRotation, address)
		}
	}
	if 2*len(inRotation) < len(b.callerAddresses) {
		inRotation = b.callerAddresses
	}
	return inRotation[rand.IntN(len(inRotation))]
}

// requestOutcome is the outcome of one request as its caller observed it.
type requestOutcome struct {
	jobID  string // Empty unless the request submits a job.
	sent   time.Time
	ended  time.Time
	status int // The status is 0 if there was no complete response.
	daemon string
	err    error
}

// isLost reports whether a sent request counts as lost under the LOST rule: it ended without
// a response, more than lossMargin after it was sent and more than lossMargin before
// callerTimeout.
func (s *requestOutcome) isLost() bool {
	return s.status == 0 && !s.sent.IsZero() && s.ended.Sub(s.sent) > lossMargin && s.ended.Sub(s.sent) < callerTimeout-lossMargin
}

// rollingStopTest stops daemons in turn while callers reuse their connections.
type rollingStopTest struct {
	*soakTest
	balancer       *loadBalancer
	mu             sync.Mutex
	outcomes       []requestOutcome
	jobCount       int
	stoppingSince  []time.Time // By daemon; zero if it is not stopping.
	secondSignalAt []time.Time // By daemon; zero if no second signal is due.
	eventLog       []string
}

func newRollingStopTest(t *testing.T, seed uint64) *rollingStopTest {
	r := &rollingStopTest{soakTest: newSoakTest(t, seed, defaultMaxLease), stoppingSince: make([]time.Time, soakDaemonCount), secondSignalAt: make([]time.Time, soakDaemonCount)}
	r.balancer = &loadBalancer{callerAddresses: make([]string, soakDaemonCount), readyAddresses: make([]string, soakDaemonCount), failedChecks: make([]int, soakDaemonCount)}
	for i := range soakDaemonCount {
		r.balancer.setAddresses(i, r.callerAddresses[i], readyAddress(t, r.daemons[i]))
		go r.balancer.checkReadiness(t.Context(), i)
	}
	return r
}

// readyAddress returns the address of the readiness check of a daemon that has started.
func readyAddress(t *testing.T, p *process) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		var started struct {
			Event int
			Ready string
		}
		if json.Unmarshal([]byte(line), &started) == nil && started.Ready != "" {
			return started.Ready
		}
	}
	require.Fail(t, "the daemon did not log the address of its readiness check", p.name)
	return ""
}

// runCaller sends requests over one connection until it is closed, and then opens a new
// one to a daemon that the load balancer picks.
func (r *rollingStopTest) runCaller(ctx context.Context, rng *rand.Rand, maxPause time.Duration) {
	defer r.activeCallers.Done()
	daemon := ""
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		daemon = r.balancer.pickDaemon()
		return (&net.Dialer{}).DialContext(ctx, "tcp", daemon)
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerTimeout}
	lastJobID := ""
	for ctx.Err() == nil {
		outcome := requestOutcome{}
		method, id, body := http.MethodGet, lastJobID, []byte(nil)
		if lastJobID == "" || rng.IntN(2) == 0 {
			method, id, body = r.newJobRequest()
			outcome.jobID = id
		}
		var sent atomic.Pointer[time.Time] // Set by a goroutine of the transport.
		trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
			if now := time.Now(); info.Err == nil {
				sent.Store(&now)
			}
		}}
		request, err := http.NewRequestWithContext(httptrace.WithClientTrace(context.Background(), trace), method, "http://"+jobsHost+jobsPath+id, bytes.NewReader(body))
		if err != nil {
			r.t.Error(err)
			return
		}
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerTimeout.Milliseconds(), 10))
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close() // The body is read to its end.
		}
		outcome.ended, outcome.daemon, outcome.err = time.Now(), daemon, err
		if at := sent.Load(); at != nil {
			outcome.sent = *at
		}
		if err == nil {
			outcome.status = response.StatusCode
		}
		if outcome.status == http.StatusOK {
			lastJobID = id
		}
		r.mu.Lock()
		r.outcomes = append(r.outcomes, outcome)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(maxPause))))
	}
}

// newJobRequest returns a request that submits a new job.
func (r *rollingStopTest) newJobRequest() (method, id string, body []byte) {
	r.mu.Lock()
	r.jobCount++
	id = fmt.Sprintf("%016x", 0x7011000+r.jobCount)
	r.mu.Unlock()
	body, err := json.Marshal(map[string]any{"Spec": id, "Steps": []any{r.newStep(id, 0, 1, 50*time.Millisecond, nil)}})
	if err != nil {
		r.t.Error(err)
	}
	return http.MethodPost, id, body
}

// signalDaemon sends SIGTERM to a daemon and randomly schedules a second one.
func (r *rollingStopTest) signalDaemon(i int, now time.Time) {
	r.daemons[i].terminate()
	r.stoppingSince[i], r.secondSignalAt[i] = now, time.Time{}
	if r.rng.IntN(2) == 0 {
		r.secondSignalAt[i] = now.Add(time.Duration(r.rng.Int64N(int64(gracePeriod))))
	}
}

// superviseStops sends the scheduled second signals, checks the exit status and stop
// duration of daemons that have exited, and restarts them.
func (r *rollingStopTest) superviseStops(now time.Time) {
	for i, since := range r.stoppingSince {
		if since.IsZero() {
			continue
		}
		p := r.daemons[i]
		if at := r.secondSignalAt[i]; !at.IsZero() && now.After(at) {
			r.secondSignalAt[i] = time.Time{}
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // The process may have exited.
		}
		select {
		case <-p.exited:
			r.stoppingSince[i] = time.Time{}
			elapsed := now.Sub(since)
			r.eventLog = append(r.eventLog, fmt.Sprintf("d%d exited after %.1fs", i, elapsed.Seconds()))
			require.Zero(r.t, p.cmd.ProcessState.ExitCode(), "%s: %s", p.name, p.cmd.ProcessState)
			require.Less(r.t, elapsed, gracePeriod-minGraceLeft, "%s exited too close to the end of the grace period", p.name)
			r.restartDaemon(i)
			r.balancer.setAddresses(i, r.callerAddresses[i], readyAddress(r.t, r.daemons[i]))
		default:
			require.Less(r.t, now.Sub(since), gracePeriod, "%s did not exit within the grace period", p.name)
		}
	}
}

func (r *rollingStopTest) isStopping() bool {
	return slices.ContainsFunc(r.stoppingSince, func(at time.Time) bool { return !at.IsZero() })
}

// injectStoreFaults randomly delays each daemon's connections to the store, resets them,
// or removes the delay.
func (r *rollingStopTest) injectStoreFaults() {
	for i, proxy := range r.proxies {
		switch r.rng.IntN(3) {
		case 0:
			delay := faultproxy.Delay{UpMS: r.rng.Int64N(maxStoreDelayMS), DownMS: r.rng.Int64N(maxStoreDelayMS)}
			require.NoError(r.t, proxy.SetDelay(delay))
			r.eventLog = append(r.eventLog, fmt.Sprintf("store delayed for d%d by %d ms", i, delay.UpMS+delay.DownMS))
		case 1:
			require.NoError(r.t, proxy.Reset(faultproxy.Reset{}))
			r.eventLog = append(r.eventLog, fmt.Sprintf("store connections of d%d reset", i))
		default:
			require.NoError(r.t, proxy.SetDelay(faultproxy.Delay{}))
		}
	}
}

// rollingParameters returns the duration and the seed of a run, from the environment if
// they are set there.
func rollingParameters(t *testing.T) (duration time.Duration, seed uint64) {
	duration, seed = defaultRollingDuration, defaultSoakSeed
	var err error
	if text := os.Getenv(soakEnv); text != "" {
		duration, err = time.ParseDuration(text)
		require.NoError(t, err, soakEnv)
	}
	if text := os.Getenv(soakSeedEnv); text != "" {
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, soakSeedEnv)
	}
	return duration, seed
}

// Guards against requests that a daemon accepts but does not answer during a graceful stop,
// which callers see as LOST during rolling restarts. Also guards against a stop that exceeds
// the grace period or fails because of a second signal, and against refused jobs that run.
// All daemons are stopped in turn, 0.8 to 1.2 s or 0.1 s apart, while callers reuse their
// connections and the store is slow at times.
func TestPlatformRollingStops(t *testing.T) {
	t.Parallel()
	duration, seed := rollingParameters(t)
	r := newRollingStopTest(t, seed)
	ctx, stop := context.WithCancel(t.Context())
	for i := range rollingCallerCount {
		maxPause := []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}[i%3]
		r.activeCallers.Add(1)
		go r.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i)+2)), maxPause)
	}
	begin := time.Now()
	next, overlapping, signalAt, faultAt := 0, true, begin.Add(time.Second), begin.Add(500*time.Millisecond)
	for now := begin; now.Sub(begin) < duration; now = time.Now() {
		if now.After(faultAt) {
			r.injectStoreFaults()
			faultAt = now.Add(time.Duration(500+r.rng.IntN(2000)) * time.Millisecond)
		}
		if now.After(signalAt) && r.stoppingSince[next].IsZero() {
			r.signalDaemon(next, now)
			next = (next + 1) % soakDaemonCount
			signalAt = now.Add(minSignalGap + time.Duration(r.rng.Int64N(int64(signalGapJitter))))
			if overlapping {
				signalAt = now.Add(overlapSignalGap)
			}
			if next == 0 {
				overlapping, signalAt = !overlapping, now.Add(gracePeriod) // All daemons must be running again before the next round.
			}
		}
		r.superviseStops(now)
		time.Sleep(rollingPollInterval)
	}
	for r.isStopping() {
		r.superviseStops(time.Now())
		time.Sleep(rollingPollInterval)
	}
	for _, proxy := range r.proxies {
		require.NoError(t, proxy.SetDelay(faultproxy.Delay{}))
	}
	stop()
	r.activeCallers.Wait()
	r.checkOutcomes(seed)
}

// checkOutcomes checks the outcomes that the callers observed.
func (r *rollingStopTest) checkOutcomes(seed uint64) {
	var accepted []string
	counts, connectionsRefused, unsent, closedEarly, timedOut, lost := map[int]int{}, 0, 0, 0, 0, 0
	for _, outcome := range r.outcomes {
		counts[outcome.status]++
		switch {
		case outcome.isLost():
			lost++
			r.t.Logf("lost: %s sent %v, ended %v later: %v", outcome.daemon, outcome.sent, outcome.ended.Sub(outcome.sent), outcome.err)
		case outcome.status == 0 && !outcome.sent.IsZero() && outcome.ended.Sub(outcome.sent) > lossMargin:
			timedOut++
		case outcome.status == 0 && !outcome.sent.IsZero():
			closedEarly++
		case outcome.status == 0 && errors.Is(outcome.err, syscall.ECONNREFUSED):
			connectionsRefused++
		case outcome.status == 0:
			unsent++
			r.t.Logf("not sent: %s ended %v: %v", outcome.daemon, outcome.ended, outcome.err)
		case outcome.status == http.StatusOK && outcome.jobID != "":
			accepted = append(accepted, outcome.jobID)
		}
	}
	r.t.Logf("seed %d: %d requests, responses by status %v, %d connections refused, %d not sent, %d closed without a response within %v, %d timed out; %v",
		seed, len(r.outcomes), counts, connectionsRefused, unsent, closedEarly, lossMargin, timedOut, r.eventLog)
	require.Zero(r.t, lost, "lost requests")
	require.Zero(r.t, timedOut, "requests that timed out")
	require.NotEmpty(r.t, accepted)
	r.waitCompleted(0, accepted, soakCompletionTimeout)
	for _, outcome := range r.outcomes {
		if outcome.jobID != "" && outcome.status == http.StatusServiceUnavailable {
			require.False(r.t, r.fleet.HasStarted(outcome.jobID), "job %s was refused but ran", outcome.jobID)
		}
	}
}
