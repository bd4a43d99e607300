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

// Times of planned stops.
const (
	rollingCallers  = 24
	graceLeft       = 450 * time.Millisecond // of the grace period, when a process has ended
	lostSlack       = 200 * time.Millisecond
	callerPatience  = 3 * time.Second
	balancerMisses  = 2
	balancerEvery   = time.Second
	signalGapLeast  = 800 * time.Millisecond
	signalGapSpread = 400 * time.Millisecond
	signalOverlap   = 100 * time.Millisecond // in every second turn: the balancer has no daemon in rotation
	rollingDefault  = 14 * time.Second
	rollingPoll     = 20 * time.Millisecond
	storeLateMost   = 1200 // ms, each way
)

// balancer sends new connections to daemons as the platform does: it checks each once a
// second, and one that misses two checks gets none, unless fewer than half are left.
type balancer struct {
	mu      sync.Mutex
	callers []string
	ready   []string
	misses  []int
}

func (b *balancer) set(i int, callers, ready string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callers[i], b.ready[i] = callers, ready
}

func (b *balancer) watch(ctx context.Context, i int) {
	client := &http.Client{Timeout: balancerEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		b.mu.Lock()
		address := b.ready[i]
		b.mu.Unlock()
		response, err := client.Get("http://" + address + "/ready")
		well := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close() // only the status counts
		}
		b.mu.Lock()
		if b.misses[i]++; well {
			b.misses[i] = 0
		}
		b.mu.Unlock()
		time.Sleep(balancerEvery)
	}
}

// pick returns the callers' address of a daemon in rotation.
func (b *balancer) pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []string
	for i, address := range b.callers {
		if b.misses[i] < balancerMisses {
			in = append(in, address)
		}
	}
	if 2*len(in) < len(b.callers) {
		in = b.callers
	}
	return in[rand.IntN(len(in))]
}

// seen is what a caller saw of one request.
type seen struct {
	id     string // of a job that was handed in
	sent   time.Time
	ended  time.Time
	status int // 0 without a complete answer
	daemon string
	err    error
}

// lost reports whether a request that was sent ended without an answer, as rule LOST says.
func (s *seen) lost() bool {
	return s.status == 0 && !s.sent.IsZero() && s.ended.Sub(s.sent) > lostSlack && s.ended.Sub(s.sent) < callerPatience-lostSlack
}

// rolling stops daemons in turn while callers keep their connections.
type rolling struct {
	*soak
	balancer *balancer
	mu       sync.Mutex
	requests []seen
	serial   int
	stopped  []time.Time // of each daemon's stop under way
	again    []time.Time // of the second signal
	story    []string
}

func newRolling(t *testing.T, seed uint64) *rolling {
	r := &rolling{soak: newSoak(t, seed), stopped: make([]time.Time, soakDaemons), again: make([]time.Time, soakDaemons)}
	r.balancer = &balancer{callers: make([]string, soakDaemons), ready: make([]string, soakDaemons), misses: make([]int, soakDaemons)}
	for i := range soakDaemons {
		r.balancer.set(i, r.callers[i], readyAddress(t, r.daemons[i]))
		go r.balancer.watch(t.Context(), i)
	}
	return r
}

// readyAddress is where a daemon that has started answers the balancer.
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
	require.Fail(t, "a daemon does not name its address for checks", p.name)
	return ""
}

// call uses its connection as long as that is open, and then has the balancer send it elsewhere.
func (r *rolling) call(ctx context.Context, rng *rand.Rand, gap time.Duration) {
	defer r.calls.Done()
	daemon := ""
	transport := &http.Transport{MaxIdleConnsPerHost: 1, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		daemon = r.balancer.pick()
		return (&net.Dialer{}).DialContext(ctx, "tcp", daemon)
	}}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerPatience}
	last := ""
	for ctx.Err() == nil {
		one := seen{}
		method, id, body := http.MethodGet, last, []byte(nil)
		if last == "" || rng.IntN(2) == 0 {
			method, id, body = r.job()
			one.id = id
		}
		var sent atomic.Pointer[time.Time] // set by the transport's goroutine
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
		request.Header.Set("X-Deadline-Ms", strconv.FormatInt(callerPatience.Milliseconds(), 10))
		response, err := client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close() // it is read whole
		}
		one.ended, one.daemon, one.err = time.Now(), daemon, err
		if at := sent.Load(); at != nil {
			one.sent = *at
		}
		if err == nil {
			one.status = response.StatusCode
		}
		if one.status == http.StatusOK {
			last = id
		}
		r.mu.Lock()
		r.requests = append(r.requests, one)
		r.mu.Unlock()
		time.Sleep(time.Duration(rng.Int64N(int64(gap))))
	}
}

// job returns the request that hands in a new job.
func (r *rolling) job() (method, id string, body []byte) {
	r.mu.Lock()
	r.serial++
	id = fmt.Sprintf("%016x", 0x7011000+r.serial)
	r.mu.Unlock()
	body, err := json.Marshal(map[string]any{"Spec": id, "Steps": []any{r.step(id, 0, 1, 50*time.Millisecond, nil)}})
	if err != nil {
		r.t.Error(err)
	}
	return http.MethodPost, id, body
}

// signalNext sends a daemon SIGTERM, and maybe a second one later.
func (r *rolling) signalNext(i int, now time.Time) {
	r.daemons[i].stopSoft()
	r.stopped[i], r.again[i] = now, time.Time{}
	if r.rng.IntN(2) == 0 {
		r.again[i] = now.Add(time.Duration(r.rng.Int64N(int64(graceTime))))
	}
}

// follow starts daemons again that have ended, and checks how they did.
func (r *rolling) follow(now time.Time) {
	for i, since := range r.stopped {
		if since.IsZero() {
			continue
		}
		p := r.daemons[i]
		if at := r.again[i]; !at.IsZero() && now.After(at) {
			r.again[i] = time.Time{}
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		}
		select {
		case <-p.done:
			r.stopped[i] = time.Time{}
			took := now.Sub(since)
			r.story = append(r.story, fmt.Sprintf("d%d ended after %.1fs", i, took.Seconds()))
			require.Zero(r.t, p.cmd.ProcessState.ExitCode(), "%s: %s", p.name, p.cmd.ProcessState)
			require.Less(r.t, took, graceTime-graceLeft, "%s was slow to end", p.name)
			r.restart(i)
			r.balancer.set(i, r.callers[i], readyAddress(r.t, r.daemons[i]))
		default:
			require.Less(r.t, now.Sub(since), graceTime, "%s does not end", p.name)
		}
	}
}

func (r *rolling) isStopping() bool {
	return slices.ContainsFunc(r.stopped, func(at time.Time) bool { return !at.IsZero() })
}

// disturb makes the store late for some daemons, resets channels to it, or ends that.
func (r *rolling) disturb() {
	for i, proxy := range r.proxies {
		switch r.rng.IntN(3) {
		case 0:
			late := faultproxy.Delay{UpMS: r.rng.Int64N(storeLateMost), DownMS: r.rng.Int64N(storeLateMost)}
			require.NoError(r.t, proxy.SetDelay(late))
			r.story = append(r.story, fmt.Sprintf("store late for d%d by %d ms", i, late.UpMS+late.DownMS))
		case 1:
			require.NoError(r.t, proxy.Cut(faultproxy.Cut{}))
			r.story = append(r.story, fmt.Sprintf("store channels of d%d reset", i))
		default:
			require.NoError(r.t, proxy.SetDelay(faultproxy.Delay{}))
		}
	}
}

// rollingFromEnvironment returns the length and the seed of a run.
func rollingFromEnvironment(t *testing.T) (length time.Duration, seed uint64) {
	length, seed = rollingDefault, soakSeed
	var err error
	if text := os.Getenv(soakEnv); text != "" {
		length, err = time.ParseDuration(text)
		require.NoError(t, err, soakEnv)
	}
	if text := os.Getenv(soakSeedEnv); text != "" {
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, soakSeedEnv)
	}
	return length, seed
}

// Guards against requests that a daemon takes and does not answer in a planned stop (LOST on a
// day of rolling restarts), against one that is not ended within the grace period or by a second
// signal, and against jobs that were refused and ran: all daemons are stopped in turn, 0.8 to
// 1.2 s or 0.1 s apart, while callers use their connections and the store is late at times.
func TestPlatformRollingStops(t *testing.T) {
	t.Parallel()
	length, seed := rollingFromEnvironment(t)
	r := newRolling(t, seed)
	ctx, stop := context.WithCancel(t.Context())
	for i := range rollingCallers {
		gap := []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second}[i%3]
		r.calls.Add(1)
		go r.call(ctx, rand.New(rand.NewPCG(seed, uint64(i)+2)), gap)
	}
	begin := time.Now()
	next, overlap, signalAt, disturbAt := 0, true, begin.Add(time.Second), begin.Add(500*time.Millisecond)
	for now := begin; now.Sub(begin) < length; now = time.Now() {
		if now.After(disturbAt) {
			r.disturb()
			disturbAt = now.Add(time.Duration(500+r.rng.IntN(2000)) * time.Millisecond)
		}
		if now.After(signalAt) && r.stopped[next].IsZero() {
			r.signalNext(next, now)
			next = (next + 1) % soakDaemons
			signalAt = now.Add(signalGapLeast + time.Duration(r.rng.Int64N(int64(signalGapSpread))))
			if overlap {
				signalAt = now.Add(signalOverlap)
			}
			if next == 0 {
				overlap, signalAt = !overlap, now.Add(graceTime) // all are to be back before the next turn
			}
		}
		r.follow(now)
		time.Sleep(rollingPoll)
	}
	for r.isStopping() {
		r.follow(time.Now())
		time.Sleep(rollingPoll)
	}
	for _, proxy := range r.proxies {
		require.NoError(t, proxy.SetDelay(faultproxy.Delay{}))
	}
	stop()
	r.calls.Wait()
	r.judge(seed)
}

// judge checks what the callers saw.
func (r *rolling) judge(seed uint64) {
	var accepted []string
	counts, turnedAway, unsent, cut, late, lost := map[int]int{}, 0, 0, 0, 0, 0
	for _, one := range r.requests {
		counts[one.status]++
		switch {
		case one.lost():
			lost++
			r.t.Logf("lost: %s sent %v, ended %v later: %v", one.daemon, one.sent, one.ended.Sub(one.sent), one.err)
		case one.status == 0 && !one.sent.IsZero() && one.ended.Sub(one.sent) > lostSlack:
			late++
		case one.status == 0 && !one.sent.IsZero():
			cut++
		case one.status == 0 && errors.Is(one.err, syscall.ECONNREFUSED):
			turnedAway++
		case one.status == 0:
			unsent++
			r.t.Logf("not sent: %s ended %v: %v", one.daemon, one.ended, one.err)
		case one.status == http.StatusOK && one.id != "":
			accepted = append(accepted, one.id)
		}
	}
	r.t.Logf("seed %d: %d requests, answers %v, %d found no listener, %d not sent, %d cut within %v, %d without an answer in time; %v",
		seed, len(r.requests), counts, turnedAway, unsent, cut, lostSlack, late, r.story)
	require.Zero(r.t, lost, "requests without an answer")
	require.Zero(r.t, late, "requests without an answer in the caller's time limit")
	require.NotEmpty(r.t, accepted)
	r.completed(0, accepted, soakSettle)
	for _, one := range r.requests {
		if one.id != "" && one.status == http.StatusServiceUnavailable {
			require.False(r.t, r.fleet.HasStarted(one.id), "job %s was refused and ran", one.id)
		}
	}
}
