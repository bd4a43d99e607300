package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/platform"
)

// Parameters of the soak of the log's history. soakDaemonsEnv sets the number of daemons.
const (
	soakDaemonsEnv          = "BRIARPROXY_SOAK_DAEMONS"
	historyDaemonCount      = 5
	historyWorkerCount      = 8
	historyRetentionSeconds = 6
	historyFaultyDaemons    = 2 // The most daemons with a fault at a time; at least two others have all records.
	historyLastingJobs      = 4
	historyAnswerTries      = 400 // 20 s if each is answered at once: for the store's late appends and a takeover after the last fault.
)

// historySoak kills, pauses and stops daemons in series at a store that keeps records for a few seconds and carries some out late,
// while callers cancel jobs before or while they are submitted.
type historySoak struct {
	*platformCell
	rng     *rand.Rand
	due     []scheduledFault
	faulty  map[int]bool
	faults  []string
	begin   time.Time
	callers sync.WaitGroup
	retired []*process // Former processes of restarted daemons.

	mu        sync.Mutex
	addresses []string
	completes []string             // Accepted jobs that nobody cancels.
	cancelled map[string]time.Time // Jobs by the time of the acknowledgement.
	denied    []string             // Answers 410 for accepted jobs that nobody has cancelled.
}

func (s *historySoak) address(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addresses[i%len(s.addresses)]
}

func (s *historySoak) schedule(delay time.Duration, run func()) {
	s.due = append(s.due, scheduledFault{time.Now().Add(delay), run})
}

func (s *historySoak) runScheduled() {
	var later []scheduledFault
	due := s.due
	s.due = nil
	for _, f := range due {
		if time.Now().After(f.at) {
			f.run()
		} else {
			later = append(later, f)
		}
	}
	s.due = append(s.due, later...)
}

func (s *historySoak) restart(i int) {
	s.retired = append(s.retired, s.daemons[i])
	s.restartDaemon(i)
	s.mu.Lock()
	s.addresses[i] = s.callerAddresses[i]
	s.mu.Unlock()
	delete(s.faulty, i)
}

// fail begins a fault of a daemon, unless enough have one.
func (s *historySoak) fail(i int, name string, length time.Duration, begin, end func(p *process)) {
	if i < 0 || s.faulty[i] || len(s.faulty) >= historyFaultyDaemons {
		return
	}
	s.faulty[i] = true
	s.faults = append(s.faults, fmt.Sprintf("%.1fs %s d%d for %.1fs", time.Since(s.begin).Seconds(), name, i, length.Seconds()))
	p := s.daemons[i]
	begin(p)
	s.schedule(length, func() { end(p) })
}

func (s *historySoak) kill(i int) {
	s.fail(i, "kill", time.Duration(100+s.rng.IntN(900))*time.Millisecond, (*process).kill, func(*process) { s.restart(i) })
}

// restartStopped restarts a daemon once its planned stop has ended. Callers and other faults go on meanwhile.
func (s *historySoak) restartStopped(i int, p *process) {
	select {
	case <-p.exited:
		s.restart(i)
	default:
		s.schedule(jobInterval, func() { s.restartStopped(i, p) })
	}
}

func (s *historySoak) injectFault() {
	i := s.rng.IntN(len(s.daemons))
	switch s.rng.IntN(8) {
	case 0, 1, 2:
		s.kill(s.currentPlacer())
	case 3:
		s.kill(i)
		s.kill(s.currentPlacer())
	case 4:
		s.fail(i, "stop", 500*time.Millisecond, (*process).terminate, func(p *process) { s.restartStopped(i, p) })
	case 5:
		if s.rng.IntN(2) == 0 {
			i = s.currentPlacer()
		}
		length := time.Duration(500+s.rng.IntN(2*historyRetentionSeconds*1000)) * time.Millisecond // Some pauses outlast the records.
		s.fail(i, "pause", length, (*process).pause, func(p *process) { p.resume(); delete(s.faulty, i) })
	case 6:
		s.faults = append(s.faults, fmt.Sprintf("%.1fs appends late", time.Since(s.begin).Seconds()))
		s.store.HoldAppends()
		s.schedule(time.Duration(100+s.rng.IntN(400))*time.Millisecond, s.store.AnswerAppends)
		s.schedule(time.Duration(1000+s.rng.IntN(5000))*time.Millisecond, func() { s.store.CarryOutHeldAppends() })
	default:
		s.faults = append(s.faults, fmt.Sprintf("%.1fs store down", time.Since(s.begin).Seconds()))
		s.store.SetUnavailable(true)
		s.schedule(time.Duration(200+s.rng.IntN(1500))*time.Millisecond, func() { s.store.SetUnavailable(false) })
	}
}

// submitJob submits a job until it is accepted, at most 20 times.
func (s *historySoak) submitJob(id string, body map[string]any, daemon int) bool {
	for try := range 20 {
		if status, _ := callAddress(s.address(daemon+try), http.MethodPost, id, "", body); status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// cancelEarly submits a job, leaves without waiting for the answer, and cancels it at other daemons until that is acknowledged.
// With a negative patience it cancels first.
func (s *historySoak) cancelEarly(id string, body map[string]any, daemon int, patience time.Duration) {
	defer s.callers.Done()
	submitted := make(chan struct{})
	go func() {
		defer close(submitted)
		if patience < 0 {
			time.Sleep(-patience)
		}
		_, _ = callAddressWithin(max(patience, 500*time.Millisecond), s.address(daemon), http.MethodPost, id, "", body)
	}()
	time.Sleep(max(0, patience))
	for try := range 60 {
		if status, _ := callAddress(s.address(daemon+1+try), http.MethodDelete, id, "", nil); status == http.StatusOK || status == http.StatusGone {
			s.mu.Lock()
			s.cancelled[id] = time.Now()
			s.mu.Unlock()
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	<-submitted
}

// ask asks for the state of a job that was accepted, and notes whether the answer denies it.
func (s *historySoak) ask(id string, daemon int) {
	defer s.callers.Done()
	if status, _ := callAddress(s.address(daemon), http.MethodGet, id, "", nil); status == http.StatusGone {
		s.mu.Lock()
		s.denied = append(s.denied, fmt.Sprintf("%s by d%d after %.1fs", id, daemon%len(s.daemons), time.Since(s.begin).Seconds()))
		s.mu.Unlock()
	}
}

// finalState returns the answer of a daemon for a job, once it gives one.
func (s *historySoak) finalState(daemon int, id string, accepts func(status int, text string) bool) string {
	status, text := 0, ""
	for range historyAnswerTries {
		if status, text = callAddress(s.address(daemon), http.MethodGet, id, "", nil); accepts(status, text) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Sprint(status, " ", text)
}

// requireLastingJobsRun requires that every daemon shows the lasting jobs as running, once its answer is accepted.
func (s *historySoak) requireLastingJobsRun(lasting []string, accepts func(status int, text string) bool) {
	for i := range s.daemons {
		for _, id := range lasting {
			state := s.finalState(i, id, accepts)
			require.Contains(s.t, state, "running", "lasting job %s at d%d", id, i)
		}
	}
}

// stopAll stops all daemons as planned, a short while after one another, and starts them again once the log has expired.
func (s *historySoak) stopAll() {
	for _, i := range s.rng.Perm(len(s.daemons)) {
		s.daemons[i].terminate()
		time.Sleep(time.Duration(s.rng.IntN(400)) * time.Millisecond)
	}
	for _, p := range s.daemons {
		require.Zero(s.t, p.waitExit(10*time.Second))
	}
	time.Sleep((historyRetentionSeconds + 1) * time.Second)
	for i := range s.daemons {
		s.restart(i)
	}
}

func (s *historySoak) hasEvent(number int) bool {
	for _, p := range append(s.retired, s.daemons...) {
		p.mu.Lock()
		lines := p.lines
		p.mu.Unlock()
		for _, line := range lines {
			if strings.Contains(line, fmt.Sprintf(`"event":%d,`, number)) {
				return true
			}
		}
	}
	return false
}

func envNumber(t *testing.T, name string, value uint64) uint64 {
	if text := os.Getenv(name); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, name)
		return number
	}
	return value
}

// Guards against accepted jobs that are denied, lost or never completed, and against cancelled jobs that run, while placers are
// killed in series, daemons are frozen for longer than the log keeps records, and the store carries submissions out late. In the end
// all daemons stop for longer than the log keeps records.
func TestPlatformHistorySoak(t *testing.T) {
	duration, seed := defaultSoakDuration, envNumber(t, soakSeedEnv, defaultSoakSeed)
	if text := os.Getenv(soakEnv); text != "" {
		var err error
		duration, err = time.ParseDuration(text)
		require.NoError(t, err, soakEnv)
	}
	cell := &platformCell{t: t, store: platform.NewStore(), retentionSeconds: historyRetentionSeconds, maxLease: soakMaxLease}
	cell.store.RetainFor(t.Context(), historyRetentionSeconds*time.Second)
	s := &historySoak{
		platformCell: startPlatformCell(cell, int(envNumber(t, soakDaemonsEnv, historyDaemonCount)), historyWorkerCount, false),
		rng:          rand.New(rand.NewPCG(seed, 2)), faulty: map[int]bool{}, cancelled: map[string]time.Time{},
	}
	s.addresses = append(s.addresses, s.callerAddresses...)
	var lasting []string
	for i := range historyLastingJobs {
		id := fmt.Sprintf("%016x", 0x1a500+i)
		s.submit(i, id, s.newStep(id, 0, 2, time.Hour, map[string]any{"LongRunning": true}))
		lasting = append(lasting, id)
	}
	s.begin = time.Now()
	nextFault := s.begin
	for jobs := 0; time.Since(s.begin) < duration; jobs++ {
		time.Sleep(jobInterval)
		id, daemon := fmt.Sprintf("%016x", 0x50b0000+jobs), s.rng.IntN(len(s.daemons))
		s.callers.Add(2)
		go s.ask(lasting[jobs%len(lasting)], s.rng.IntN(len(s.daemons)))
		if s.rng.IntN(3) == 0 {
			body := map[string]any{"Spec": id, "Steps": []any{s.newStep(id, 0, 2, 10*time.Second, nil)}}
			go s.cancelEarly(id, body, daemon, time.Duration(s.rng.IntN(900)-300)*time.Millisecond)
		} else {
			body := map[string]any{"Spec": id, "Steps": []any{s.newStep(id, 0, 1, time.Duration(100+s.rng.IntN(400))*time.Millisecond, nil)}}
			go func() {
				defer s.callers.Done()
				if s.submitJob(id, body, daemon) {
					s.mu.Lock()
					s.completes = append(s.completes, id)
					s.mu.Unlock()
				}
			}()
		}
		s.runScheduled()
		if time.Now().After(nextFault) {
			s.injectFault()
			nextFault = time.Now().Add(time.Duration(200+s.rng.IntN(1800)) * time.Millisecond)
		}
	}
	for len(s.due) > 0 {
		time.Sleep(jobInterval)
		s.runScheduled()
	}
	s.callers.Wait()
	t.Logf("seed %d, %d daemons: %d jobs accepted, %d cancelled early, %d starts, history lost %v; %s",
		seed, len(s.daemons), len(s.completes), len(s.cancelled), s.fleet.Starts(), s.hasEvent(912), strings.Join(s.faults, "; "))
	require.Empty(t, s.denied)
	s.waitCompleted(0, s.completes, soakCompletionTimeout)
	time.Sleep(historyRetentionSeconds * time.Second)
	s.requireLastingJobsRun(lasting, func(status int, _ string) bool { return status == http.StatusOK })
	for i := range s.daemons {
		for id, at := range s.cancelled {
			if s.fleet.StartedBefore(id, at) {
				continue // It may have ended before it was cancelled.
			}
			state := s.finalState(i, id, func(status int, text string) bool {
				return status == http.StatusGone || strings.Contains(text, "cancelled")
			})
			require.Regexp(t, `^410|cancelled`, state, "cancelled job %s at d%d", id, i)
			require.False(t, s.fleet.HasStarted(id) && strings.HasPrefix(state, "410"), "job %s has run and is denied by d%d", id, i)
		}
	}
	require.False(t, s.hasEvent(919), "records were given up although daemons had them all along")
	for _, p := range s.daemons {
		require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)), "%s has exited unexpectedly", p.name)
	}
	id := fmt.Sprintf("%016x", 0x1a5ff)
	s.submit(0, id, s.newStep(id, 0, 2, time.Hour, map[string]any{"LongRunning": true}))
	s.stopAll()
	s.requireLastingJobsRun(append(lasting, id), func(status int, text string) bool {
		return status == http.StatusGone || strings.Contains(text, "running")
	})
}
