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

// The environment may hold the length of the soak, as 3m, and its seed. Without them it is
// the same in every run of the tests, and short.
const (
	soakEnv     = "BRIARPROXY_SOAK"
	soakSeedEnv = "BRIARPROXY_SOAK_SEED"
	soakDefault = 12 * time.Second
	soakSeed    = 7 // without one in the environment
	soakDaemons = 4
	soakWorkers = 12
	soakSettle  = 60 * time.Second // longest lease of a lost placer, and the backlog
	jobGap      = 70 * time.Millisecond
)

// soak plays random faults against real daemons, each of which reaches the store through a
// proxy of its own.
type soak struct {
	*platformCell
	rng     *rand.Rand
	proxies []*faultproxy.Proxy
	gone    []*process // daemons that were started again
	ill     []bool     // daemons with a fault under way; the test's own goroutine

	mu       sync.Mutex
	reached  []string // callers' addresses of the daemons, by number
	accepted []string
	rejected []string // every try was answered with "not accepted"
	calls    sync.WaitGroup
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{rng: rand.New(rand.NewPCG(seed, 1)), ill: make([]bool, soakDaemons)}
	s.platformCell = startPlatformCell(&platformCell{t: t, store: platform.NewStore(), keep: 300}, 0, soakWorkers, true)
	store := s.address[0]
	for i := range soakDaemons {
		proxy, err := faultproxy.Listen(faultproxy.Options{Target: store})
		require.NoError(t, err)
		t.Cleanup(proxy.Close)
		s.proxies = append(s.proxies, proxy)
		s.address[0] = proxy.Address()
		s.addDaemon(i)
		s.reached = append(s.reached, s.callers[i])
	}
	return s
}

// restart starts a daemon's program again behind its proxy.
func (s *soak) restart(i int) {
	s.address[0] = s.proxies[i].Address()
	s.addDaemon(i)
	last := len(s.daemons) - 1
	s.gone = append(s.gone, s.daemons[i])
	s.daemons[i], s.callers[i] = s.daemons[last], s.callers[last]
	s.daemons, s.callers = s.daemons[:last], s.callers[:last]
	s.mu.Lock()
	s.reached[i] = s.callers[i]
	s.mu.Unlock()
}

// callersOf is read beside restarts, which change the cell's own lists.
func (s *soak) callersOf(i int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reached[i]
}

// showStories writes all that any daemon, also one that was killed, said of the jobs that
// the workers complain of.
func (s *soak) showStories() {
	for _, problem := range s.fleet.Violations() {
		id := regexp.MustCompile("[0-9a-f]{16}").FindString(problem)
		var lines []string
		for _, p := range append(s.gone, s.daemons...) {
			p.mu.Lock()
			for _, line := range p.lines {
				if strings.Contains(line, id) || strings.Contains(line, `"event":93`) || strings.Contains(line, "worker started again") || strings.Contains(line, "lease ended") {
					lines = append(lines, line)
				}
			}
			p.mu.Unlock()
		}
		slices.Sort(lines) // they begin with the time
		s.t.Logf("%s:\n%s", problem, strings.Join(lines, "\n"))
	}
}

// hand hands a job in through daemons in turn until one gives a final answer.
func (s *soak) hand(id string, body map[string]any, first int) {
	defer s.calls.Done()
	refused := true
	for try := range 8 {
		status := post("http://"+s.callersOf((first+try)%soakDaemons)+jobsPath+id, body)
		switch status {
		case http.StatusOK:
			s.mu.Lock()
			s.accepted = append(s.accepted, id)
			s.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			refused = false // it may have been accepted
		}
		time.Sleep(300 * time.Millisecond)
	}
	if refused {
		s.mu.Lock()
		s.rejected = append(s.rejected, id)
		s.mu.Unlock()
	}
}

// fault begins a random fault and returns what ends it, and when.
func (s *soak) fault() (what string, after time.Duration, heal func()) {
	after = time.Duration(300+s.rng.IntN(3500)) * time.Millisecond
	i := s.rng.IntN(soakDaemons)
	well := 0
	for _, ill := range s.ill {
		if !ill {
			well++
		}
	}
	kind := s.rng.IntN(9)
	if kind < 6 && (s.ill[i] || well < 2) {
		kind = 6 + kind%3
	}
	daemon := func(name string, begin, end func()) (string, time.Duration, func()) {
		s.ill[i] = true
		begin()
		return fmt.Sprint(name, " d", i), after, func() { end(); s.ill[i] = false }
	}
	p, proxy := s.daemons[i], s.proxies[i]
	switch kind {
	case 0:
		return daemon("kill", p.kill, func() { s.restart(i) })
	case 1:
		return daemon("pause", p.pause, p.unpause)
	case 2:
		return daemon("stop", p.stopSoft, func() { <-p.done; s.restart(i) })
	case 3, 4:
		mode := []faultproxy.Mode{faultproxy.ModeRefuse, faultproxy.ModeSilent}[kind-3]
		return daemon("store away ("+string(mode)+")", func() {
			require.NoError(s.t, proxy.SetNew(faultproxy.New{Mode: mode}))
			require.NoError(s.t, proxy.Silence(faultproxy.Silence{All: true}))
		}, func() {
			require.NoError(s.t, proxy.SetNew(faultproxy.New{Mode: faultproxy.ModePass}))
			require.NoError(s.t, proxy.Cut(faultproxy.Cut{}))
		})
	case 5:
		return daemon("store slow", func() { require.NoError(s.t, proxy.SetDelay(faultproxy.Delay{UpMS: 100, DownMS: 150})) },
			func() { require.NoError(s.t, proxy.SetDelay(faultproxy.Delay{})) })
	case 6:
		s.store.SetUnavailable(true)
		return "store down", after, func() { s.store.SetUnavailable(false) }
	case 7:
		s.store.LoseAppendReplies(3)
		return "answers lost", 0, func() {}
	default:
		s.fleet.Restart(fmt.Sprintf("i-%04x", s.rng.IntN(soakWorkers)))
		return "worker restarted", 0, func() {}
	}
}

// Guards against every promise to callers under faults of the real programs, alone and
// together: accepted jobs end, no task runs twice at once or again after it was done, no
// worker is given more than it holds, and what was refused never ran.
func TestPlatformSoak(t *testing.T) {
	length := soakDefault
	if text := os.Getenv(soakEnv); text != "" {
		var err error
		length, err = time.ParseDuration(text)
		require.NoError(t, err, soakEnv)
	}
	seed := uint64(soakSeed)
	if text := os.Getenv(soakSeedEnv); text != "" {
		var err error
		seed, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err, soakSeedEnv)
	}
	s := newSoak(t, seed)
	type ending struct {
		at   time.Time
		heal func()
	}
	var endings []ending
	var story []string
	begin := time.Now()
	nextFault, jobs := begin.Add(time.Second), 0
	for time.Since(begin) < length {
		time.Sleep(jobGap)
		id := fmt.Sprintf("%016x", 0x50a0000+jobs)
		takes := time.Duration(100+s.rng.IntN(1500)) * time.Millisecond
		gang := s.rng.IntN(4) == 0
		body := map[string]any{"Spec": id, "Steps": []any{
			s.step(id, 0, 1+s.rng.IntN(3), takes, map[string]any{"Gang": gang}),
			s.step(id, 1, 1, 100*time.Millisecond, map[string]any{"StartAfter": []int{0}}),
		}}
		s.calls.Add(1)
		go s.hand(id, body, s.rng.IntN(soakDaemons))
		jobs++
		now := time.Now()
		rest := endings[:0]
		for _, e := range endings {
			if now.After(e.at) {
				e.heal()
			} else {
				rest = append(rest, e)
			}
		}
		endings = rest
		if now.After(nextFault) {
			what, after, heal := s.fault()
			story = append(story, fmt.Sprintf("%.1fs %s for %.1fs", now.Sub(begin).Seconds(), what, after.Seconds()))
			endings = append(endings, ending{now.Add(after), heal})
			nextFault = now.Add(time.Duration(300+s.rng.IntN(1500)) * time.Millisecond)
		}
	}
	for _, e := range endings {
		e.heal()
	}
	s.calls.Wait()
	t.Logf("seed %d: %d jobs, %d accepted, %d rejected, %d starts; %s", seed, jobs, len(s.accepted), len(s.rejected), s.fleet.Starts(), strings.Join(story, "; "))
	require.NotEmpty(t, s.accepted)
	t.Cleanup(s.showStories)
	s.completed(0, s.accepted, soakSettle)
	for _, id := range s.rejected {
		require.False(t, s.fleet.HasStarted(id), "job %s was refused by every daemon and ran", id)
	}
	for _, p := range s.daemons {
		require.NoError(t, p.cmd.Process.Signal(syscall.Signal(0)), "%s has ended by itself", p.name)
	}
}
