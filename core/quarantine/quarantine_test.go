package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func failure(vm, rack, template string, n int) Failure {
	return Failure{VM: vm, Rack: rack, Template: template, TaskID: fmt.Sprintf("%s-%d", template, n)}
}

// Guards against isolating a worker for failures of a single template, or for failures
// that a success interrupted.
func TestWorkerIsIsolatedOnlyForConsecutiveFailuresOfDistinctTemplates(t *testing.T) {
	cases := map[string]struct {
		templates string // one letter per failed start; '+' is a success
		want      bool
	}{
		"too few":     {"ab", false},
		"unlike":      {"aba", true},
		"like":        {"aaaaaa", false},
		"interrupted": {"ab+ab", false},
		"after that":  {"ab+abb", true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tr := New(Defaults())
			for i, c := range tc.templates {
				if c == '+' {
					tr.RecordSuccess("vm", "s", "s")
					continue
				}
				tr.RecordFailure(failure("vm", "rack", string(c), i), 0)
			}
			assert.Equal(t, tc.want, tr.Isolated("vm"))
		})
	}
}

// Guards against retrying a faulty task forever and against isolating workers because
// of it.
func TestTaskThatFailsInDistinctRacksIsFailed(t *testing.T) {
	tr := New(Defaults())
	f := Failure{TaskID: "bad", Template: "x"}
	for i, rack := range []string{"r1", "r1", "r2"} {
		f.VM, f.Rack = fmt.Sprint("vm", i), rack
		assert.False(t, tr.RecordFailure(f, 0).TaskFailed, "attempt %d", i)
	}
	f.VM, f.Rack = "vm3", "r3"
	assert.True(t, tr.RecordFailure(f, 0).TaskFailed)
	assert.Empty(t, tr.workers, "its failures no longer count against workers")
}

// Guards against keeping a worker isolated after the task whose failures isolated it
// has turned out to be faulty.
func TestWorkerIsRestoredWhenItsFailuresWereTheTasksFault(t *testing.T) {
	tr := New(Defaults())
	tr.RecordFailure(failure("vm", "r1", "good", 0), 0)
	tr.RecordFailure(failure("vm", "r1", "bad", 1), 0)
	v := tr.RecordFailure(failure("vm", "r1", "bad", 2), 0)
	require.Equal(t, []string{"vm"}, v.Isolate)
	assert.Empty(t, tr.RecordFailure(failure("b", "r2", "bad", 3), 0).Restore)
	assert.Equal(t, []string{"vm"}, tr.RecordFailure(failure("c", "r3", "bad", 4), 0).Restore)
	assert.False(t, tr.Isolated("vm"))
}

// Guards against probes that are too frequent, missing or concurrent, and against a lost
// probe that blocks the next one.
func TestProbesBackOff(t *testing.T) {
	tr := New(Defaults())
	for i, template := range []string{"a", "b", "c"} {
		tr.RecordFailure(failure("vm", "r", template, i), 0)
	}
	now := time.Duration(0)
	for _, wait := range []time.Duration{30, 60, 120, 240, 480, 960, 1800, 1800} {
		require.Empty(t, tr.DueProbes(now+wait*time.Second-1))
		now += wait * time.Second
		require.Equal(t, []string{"vm"}, tr.DueProbes(now))
		tr.ProbeStarted("vm", now+time.Second)
		require.Empty(t, tr.DueProbes(now))
		tr.RecordFailure(failure("vm", "r", "a", 9), now)
	}
	now += 1800 * time.Second
	tr.ProbeStarted("vm", now+time.Second)
	now += time.Second
	tr.ExpireProbes(now)
	require.Empty(t, tr.DueProbes(now))
	now += 1800 * time.Second
	require.Equal(t, []string{"vm"}, tr.DueProbes(now))
	assert.True(t, tr.RecordSuccess("vm", "t", "a"))
	assert.False(t, tr.Isolated("vm"))
}

// Guards against confusing the two faults when both occur: every start fails on 3 of 40
// workers, and every start of 2 of 10 templates fails.
func TestFaultyWorkersAndFaultyTemplatesAreDistinguished(t *testing.T) {
	tr := New(Defaults())
	rng := rand.New(rand.NewPCG(7, 7))
	failedTasks := map[string]bool{}
	for n := range 4000 {
		vm, template := rng.IntN(40), rng.IntN(10)
		name := fmt.Sprint("vm", vm)
		if tr.Isolated(name) {
			continue
		}
		f := failure(name, fmt.Sprint("rack", vm/8), fmt.Sprint("job", template), n%500)
		if vm%13 == 5 || template < 2 {
			failedTasks[f.Template] = tr.RecordFailure(f, 0).TaskFailed || failedTasks[f.Template]
			continue
		}
		tr.RecordSuccess(name, f.TaskID, f.Template)
	}
	for vm := range 40 {
		assert.Equal(t, vm%13 == 5, tr.Isolated(fmt.Sprint("vm", vm)), "vm%d", vm)
	}
	for template := range 10 {
		assert.Equal(t, template < 2, failedTasks[fmt.Sprint("job", template)], "job%d", template)
	}
}
