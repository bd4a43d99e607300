package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/faultproxy"
	"briarproxy/standin/platform"
)

// Parameters of the soak test. The environment variables may set its duration, such as 3m,
// and its seed. Without them, the test is short and uses the same seed in every run.
const (
	soakEnv               = "BRIARPROXY_SOAK"
	soakSeedEnv           = "BRIARPROXY_SOAK_SEED"
	defaultSoakDuration   = 12 * time.Second
	defaultSoakSeed       = 7
	soakDaemonCount       = 4
	soakWorkerCount       = 12
	soakCompletionTimeout = 60 * time.Second // Covers the longest lease of a failed placer and the backlog.
	soakMaxLease          = 10 * time.Second // Twice the longest lease of a placer, as on the users' machines.
	jobInterval           = 70 * time.Millisecond

	// Each cycle begins with a burst of jobs and faults. The cell can't keep up with it, so the rest of the
	// cycle is for the backlog.
	soakBurst = 15 * time.Second
	soakCycle = 30 * time.Second
)

// soakTest injects random faults into a cell of real daemons, each of which connects to
// the store through its own proxy.
type soakTest struct {
	*platformCell
	rng             *rand.Rand
	proxies         []*faultproxy.Proxy
	replacedDaemons []*process // Former processes of restarted daemons.

	// Only the test's own goroutine uses these.
	faulty           []bool // Daemons with an active fault.
	lastWorker       string // The worker of the last fault of a worker.
	dueFaults        []scheduledFault
	faultEvents      []string
	begin            time.Time
	shownAsFailed    []string  // Jobs that were shown as failed without cause.
	losesAnswersNext bool      // The answers of the workers that start the next job are lost.
	longJobsUntil    time.Time // Many tasks are long until then, so that some start on workers that are cut off next.

	mu                     sync.Mutex
	currentCallerAddresses []string // By daemon.
	accepted               []string
	acceptedAt             []time.Time // The time of each acceptance.
	rejected               []string    // Every attempt was answered with a refusal.
	activeCallers          sync.WaitGroup
}

// scheduledFault begins or ends a fault at a later time.
type scheduledFault struct {
	at  time.Time
	run func()
}

func newSoakTest(t *testing.T, seed uint64, maxLease time.Duration, workspaces ...platform.Workspace) *soakTest {
	s := &soakTest{rng: rand.New(rand.NewPCG(seed, 1)), faulty: make([]bool, soakDaemonCount)}
	cell := &platformCell{t: t, store: platform.NewStore(), retentionSeconds: 300, maxLease: maxLease, workspaces: workspaces}
	if len(workspaces) > 0 {
		cell.workspaceOf, cell.revokeMS = soakWorkspaceOf, soakRevokeBound.Milliseconds()
	}
	s.platformCell = startPlatformCell(cell, 0, soakWorkerCount, true)
	store := s.serviceAddresses[0]
	for i := range soakDaemonCount {
		proxy, err := faultproxy.Listen(faultproxy.Options{Target: store})
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		s.proxies = append(s.proxies, proxy)
		s.serviceAddresses[0] = proxy.Address()
		s.addDaemon(i)
		s.currentCallerAddresses = append(s.currentCallerAddresses, s.callerAddresses[i])
	}
	return s
}

// restartDaemon starts a new process of a daemon behind the same proxy.
func (s *soakTest) restartDaemon(i int) {
	s.serviceAddresses[0] = s.proxies[i].Address()
	s.addDaemon(i)
	last := len(s.daemons) - 1
	s.replacedDaemons = append(s.replacedDaemons, s.daemons[i])
	s.daemons[i], s.callerAddresses[i] = s.daemons[last], s.callerAddresses[last]
	s.daemons, s.callerAddresses = s.daemons[:last], s.callerAddresses[:last]
	s.mu.Lock()
	s.currentCallerAddresses[i] = s.callerAddresses[i]
	s.mu.Unlock()
}

// callerAddress returns a daemon's address for callers. It is safe to call during restarts,
// which change the cell's own lists without a lock.
func (s *soakTest) callerAddress(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.currentCallerAddresses[i]
}

// logViolationHistories logs, for each violation that the workers report and each job that was
// shown as failed without cause, the log lines of all daemons that name its job, change the placer,
// or report an ended lease or a worker restart. Daemons that were replaced are included.
func (s *soakTest) logViolationHistories() {
	for _, violation := range append(s.fleet.Violations(), s.shownAsFailed...) {
		id := regexp.MustCompile("[0-9a-f]{16}").FindString(violation)
		var lines []string
		for _, p := range append(s.replacedDaemons, s.daemons...) {
			p.mu.Lock()
			for _, line := range p.lines {
				if strings.Contains(line, id) || strings.Contains(line, `"event":93`) || strings.Contains(line, "worker started again") || strings.Contains(line, "lease ended") || strings.Contains(line, "lease on another") {
					lines = append(lines, line)
				}
			}
			p.mu.Unlock()
		}
		slices.Sort(lines) // Each line begins with its time.
		s.t.Logf("%s:\n%s", violation, strings.Join(lines, "\n"))
	}
}

// submitUntilAccepted submits a job through the daemons in turn until one accepts it, at
// most eight times.
func (s *soakTest) submitUntilAccepted(id string, body map[string]any, firstDaemon int) {
	defer s.activeCallers.Done()
	allRefused := true
	for try := range 8 {
		status, _ := callAddress(s.callerAddress((firstDaemon+try)%soakDaemonCount), http.MethodPost, id, s.key(id), body)
		switch status {
		case http.StatusOK:
			s.mu.Lock()
			s.accepted, s.acceptedAt = append(s.accepted, id), append(s.acceptedAt, time.Now())
			s.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized:
		default:
			allRefused = false // The job may have been accepted.
		}
		time.Sleep(300 * time.Millisecond)
	}
	if allRefused {
		s.mu.Lock()
		s.rejected = append(s.rejected, id)
		s.mu.Unlock()
	}
}

// schedule calls a function after a delay.
func (s *soakTest) schedule(delay time.Duration, run func()) {
	s.dueFaults = append(s.dueFaults, scheduledFault{time.Now().Add(delay), run})
}

// runScheduled calls the scheduled functions that are due at a time, in their order.
func (s *soakTest) runScheduled(now time.Time) {
	slices.SortStableFunc(s.dueFaults, func(a, b scheduledFault) int { return a.at.Compare(b.at) })
	for len(s.dueFaults) > 0 && s.dueFaults[0].at.Before(now) {
		due := s.dueFaults[0]
		s.dueFaults = s.dueFaults[1:]
		due.run()
	}
}

func (s *soakTest) logFault(format string, args ...any) {
	s.faultEvents = append(s.faultEvents, fmt.Sprintf("%.1fs ", time.Since(s.begin).Seconds())+fmt.Sprintf(format, args...))
}

// randomDelay returns a random duration from shortest to below longest.
func (s *soakTest) randomDelay(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)))
}

func (s *soakTest) randomWorker() string {
	s.lastWorker = fmt.Sprintf("i-%04x", s.rng.IntN(soakWorkerCount))
	return s.lastWorker
}

// pickWorker returns a random worker, or as often the last one again, so that its faults overlap and
// follow each other.
func (s *soakTest) pickWorker() string {
	if s.rng.IntN(2) == 0 && s.lastWorker != "" {
		return s.lastWorker
	}
	return s.randomWorker()
}

// canFail reports whether a daemon has no fault and another one has none either.
func (s *soakTest) canFail(daemon int) bool {
	healthyCount := 0
	for _, faulty := range s.faulty {
		if !faulty {
			healthyCount++
		}
	}
	return healthyCount >= 2 && !s.faulty[daemon]
}

// cutOffWorker schedules a cut between a worker and all daemons.
func (s *soakTest) cutOffWorker(worker string, delay, length time.Duration) {
	s.schedule(delay, func() {
		s.logFault("%s cut off for %.1fs", worker, length.Seconds())
		s.fleet.Silence(worker)
	})
	s.schedule(delay+length, func() { s.fleet.Reconnect(worker) })
}

// killPlacer schedules the end of the daemon that is the placer by then, and its next start.
func (s *soakTest) killPlacer(delay, downTime time.Duration) {
	victim := -1
	s.schedule(delay, func() {
		if placer := s.currentPlacer(); placer >= 0 && s.canFail(placer) {
			victim = placer
			s.logFault("placer d%d killed for %.1fs", victim, downTime.Seconds())
			s.faulty[victim] = true
			s.daemons[victim].kill()
		}
	})
	s.schedule(delay+downTime, func() {
		if victim >= 0 {
			s.restartDaemon(victim)
			s.faulty[victim] = false
		}
	})
}

// injectFault starts a random fault and schedules its end.
func (s *soakTest) injectFault() {
	healAfter := time.Duration(300+s.rng.IntN(3500)) * time.Millisecond
	i := s.rng.IntN(soakDaemonCount)
	kind := s.rng.IntN(16)
	if kind < 6 && !s.canFail(i) {
		kind += 6
	}
	fault := func(name string, begin, end func()) {
		s.logFault("%s for %.1fs", name, healAfter.Seconds())
		begin()
		s.schedule(healAfter, end)
	}
	daemonFault := func(name string, begin, end func()) {
		s.faulty[i] = true
		fault(fmt.Sprint(name, " d", i), begin, func() { end(); s.faulty[i] = false })
	}
	p, proxy := s.daemons[i], s.proxies[i]
	switch kind {
	case 0:
		daemonFault("kill", p.kill, func() { s.restartDaemon(i) })
	case 1:
		daemonFault("pause", p.pause, p.resume)
	case 2:
		daemonFault("stop", p.terminate, func() { <-p.exited; s.restartDaemon(i) })
	case 3, 4:
		mode := []faultproxy.Mode{faultproxy.ModeRefuse, faultproxy.ModeSilent}[kind-3]
		daemonFault("store unreachable ("+string(mode)+")", func() {
			require.NoError(s.t, proxy.SetConnectionPolicy(faultproxy.ConnectionPolicy{Mode: mode}))
			require.NoError(s.t, proxy.Silence(faultproxy.Silence{All: true}))
		}, func() {
			require.NoError(s.t, proxy.SetConnectionPolicy(faultproxy.ConnectionPolicy{Mode: faultproxy.ModePass}))
			require.NoError(s.t, proxy.Reset(faultproxy.Reset{}))
		})
	case 5:
		daemonFault("store slow", func() { require.NoError(s.t, proxy.SetDelay(faultproxy.Delay{UpMS: 100, DownMS: 150})) },
			func() { require.NoError(s.t, proxy.SetDelay(faultproxy.Delay{})) })
	case 6:
		fault("store down", func() { s.store.SetUnavailable(true) }, func() { s.store.SetUnavailable(false) })
	case 7:
		s.logFault("append replies lost")
		s.store.LoseAppendReplies(3)
	case 8:
		worker := s.pickWorker()
		s.logFault("%s restarted", worker)
		s.fleet.Restart(worker)
	case 9, 10:
		s.cutOffWorker(s.pickWorker(), 0, s.randomDelay(time.Second, 9*time.Second))
	case 11:
		s.losesAnswersNext = true
	default:
		cutAfter := s.randomDelay(0, 2*time.Second)
		s.longJobsUntil = time.Now().Add(cutAfter)
		for range 1 + s.rng.IntN(4) {
			worker := s.randomWorker()
			s.logFault("%s restarted", worker)
			s.fleet.Restart(worker)
			s.cutOffWorker(worker, cutAfter, s.randomDelay(5*time.Second, 9*time.Second))
		}
		s.killPlacer(cutAfter+s.randomDelay(0, time.Second), s.randomDelay(200*time.Millisecond, 1200*time.Millisecond))
	}
}

// Guards against broken guarantees to callers under single and concurrent faults of the
// real programs: an accepted job that does not complete, a task that runs twice at the same
// time or again after it is done, an overcommitted worker, a refused job that runs, a workspace
// above its maximum, a key that works for longer than the bound after it was taken away, or a job that is shown
// as failed without cause.
func TestPlatformSoak(t *testing.T) {
	duration := defaultSoakDuration
	if text := os.Getenv(soakEnv); text != "" {
		var err error
		duration, err = time.ParseDuration(text)
		require.NoError(t, err, soakEnv)
	}
	seed := uint64(defaultSoakSeed)
	if text := os.Getenv(soakSeedEnv); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, soakSeedEnv)
	}
	s := newSoakTest(t, seed, soakMaxLease, soakWorkspaces...)
	s.begin = time.Now()
	keys, failed := s.useForeignKeys(seed), s.watchFailedJobs(seed)
	nextFault, jobs := s.begin.Add(time.Second), 0
	for time.Since(s.begin) < duration {
		time.Sleep(jobInterval)
		if time.Since(s.begin)%soakCycle >= soakBurst {
			s.runScheduled(time.Now())
			continue
		}
		id := fmt.Sprintf("%016x", 0x50a0000+jobs)
		taskDuration, taskCount := s.randomDelay(100*time.Millisecond, 1600*time.Millisecond), 1+s.rng.IntN(3)
		longJobInterval := 10
		if time.Now().Before(s.longJobsUntil) {
			longJobInterval = 2
		}
		if s.rng.IntN(longJobInterval) == 0 {
			taskDuration, taskCount = s.randomDelay(6*time.Second, 10*time.Second), 1 // Runs on when a placer's leases have expired.
		}
		if s.losesAnswersNext {
			taskDuration, taskCount = s.randomDelay(6*time.Second, 10*time.Second), 1
			s.loseAnswersInSeries(id)
			s.losesAnswersNext = false
		}
		gang := s.rng.IntN(4) == 0
		maxPerWorker := s.rng.IntN(3) // 0 means no limit
		body := map[string]any{"Spec": id, "Steps": []any{
			s.newStep(id, 0, taskCount, taskDuration, map[string]any{"Gang": gang, "AntiAffinity": maxPerWorker}),
			s.newStep(id, 1, 1, 100*time.Millisecond, map[string]any{"StartAfter": []int{0}}),
		}}
		s.activeCallers.Add(1)
		go s.submitUntilAccepted(id, body, s.rng.IntN(soakDaemonCount))
		jobs++
		now := time.Now()
		s.runScheduled(now)
		keys.change(now)
		if now.After(nextFault) {
			s.injectFault()
			nextFault = now.Add(time.Duration(300+s.rng.IntN(1500)) * time.Millisecond)
		}
	}
	for len(s.dueFaults) > 0 {
		time.Sleep(jobInterval)
		s.runScheduled(time.Now())
	}
	s.activeCallers.Wait()
	t.Logf("seed %d: %d jobs, %d accepted, %d rejected, %d starts; %s", seed, jobs, len(s.accepted), len(s.rejected), s.fleet.Starts(), strings.Join(s.faultEvents, "; "))
	require.NotEmpty(t, s.accepted)
	t.Cleanup(s.logViolationHistories)
	keys.check()
	deadline := time.Now().Add(soakCompletionTimeout)
	failed.check(deadline)
	s.waitCompleted(0, s.accepted, time.Until(deadline))
	for _, id := range s.rejected {
		require.False(t, s.fleet.HasStarted(id), "job %s was refused at every attempt but ran", id)
	}
	for _, p := range s.daemons {
		require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)), "%s has exited unexpectedly", p.name)
	}
}
