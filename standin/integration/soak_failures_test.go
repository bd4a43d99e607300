package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/platform"
)

const (
	soakMaxAttempts      = 3 // As in the manifest of the cell.
	failureCheckInterval = 20 * time.Millisecond
	minAnswerLosses      = 4 // In one series.
	maxAnswerLosses      = 5
)

// failedJobs asks for accepted jobs during a soak test and notes those that are shown as failed without cause.
type failedJobs struct {
	soak    *soakTest
	stop    chan struct{}
	stopped sync.WaitGroup

	mu         sync.Mutex
	violations []string
}

func (s *soakTest) watchFailedJobs(seed uint64) *failedJobs {
	w := &failedJobs{soak: s, stop: make(chan struct{})}
	w.stopped.Go(func() { w.ask(rand.New(rand.NewPCG(seed, 6))) })
	return w
}

// ask asks random daemons for random jobs until the end of the traffic.
func (w *failedJobs) ask(rng *rand.Rand) {
	for {
		select {
		case <-w.stop:
			return
		case <-time.After(failureCheckInterval):
		}
		if job, ok := w.soak.anyAcceptedJob(rng); ok {
			w.askFor(job, rng.IntN(soakDaemonCount))
		}
	}
}

// askFor asks a daemon for a job and reports whether its state is final.
func (w *failedJobs) askFor(job string, daemon int) (final bool) {
	status, text := callAddress(w.soak.callerAddress(daemon), http.MethodGet, job, w.soak.key(job), nil)
	if status != http.StatusOK {
		return false
	}
	failed := strings.Contains(text, "failed")
	if failed && !w.soak.fleet.FailureIsJustified(job, soakMaxAttempts) {
		w.mu.Lock()
		w.violations = append(w.violations, fmt.Sprintf("d%d shows job %s as failed: %s", daemon, job, text))
		w.mu.Unlock()
	}
	return failed || strings.Contains(text, "completed")
}

// check waits until the accepted jobs have ended, and fails the test if one was shown as failed although no task of it
// has ended as failed too often and fewer than two workers have crashed under each.
func (w *failedJobs) check(deadline time.Time) {
	close(w.stop)
	w.stopped.Wait()
	for _, job := range w.soak.accepted {
		for !w.askFor(job, 0) && time.Now().Before(deadline) {
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.soak.shownAsFailed = w.violations
	require.Empty(w.soak.t, w.violations)
}

// loseAnswersInSeries makes the answers of each worker that starts a task of the job get lost for 5 to 8 s, several
// times.
func (s *soakTest) loseAnswersInSeries(job string) {
	lengths := make([]time.Duration, minAnswerLosses+s.rng.IntN(maxAnswerLosses-minAnswerLosses+1))
	for i := range lengths {
		lengths[i] = s.randomDelay(5*time.Second, 8*time.Second)
	}
	answered := s.rng.IntN(4) > 0
	s.logFault("answers of the next %d workers that start %s lost, answer to the start too: %t", len(lengths), job, !answered)
	var starts atomic.Int64
	s.fleet.SetStartFault(job, &platform.StartFault{Cut: platform.CutAnswers, Answered: answered, Then: func(worker string) {
		n := int(starts.Add(1))
		if n >= len(lengths) {
			s.fleet.SetStartFault(job, nil)
		}
		time.AfterFunc(lengths[min(n, len(lengths))-1], func() { s.fleet.DeliverAnswers(worker) })
	}})
}
