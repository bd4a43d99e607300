package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against start faults that do something else than they say, so that the tests that use them show nothing.
func TestStartFaults(t *testing.T) {
	client := &http.Client{Timeout: 300 * time.Millisecond}
	newFleet := func(t *testing.T, fault StartFault) (f *Fleet, post func(path string) error) {
		f, err := NewFleet(NewStore(), "pool", 1, Size{Cpu: 1}, time.Minute)
		require.NoError(t, err)
		t.Cleanup(f.Close)
		f.SetStepPlan("j", 0, StepPlan{Takes: time.Minute})
		f.SetStartFault("j", &fault)
		address := f.workers["i-0000"].address
		return f, func(path string) error {
			body, err := json.Marshal(&command{Task: "j.0.0.0", Run: 1, DeadlineMs: time.Hour.Milliseconds() * 2})
			require.NoError(t, err)
			response, err := client.Post("http://"+address+path, "application/json", bytes.NewReader(body))
			if err != nil {
				return err
			}
			require.Equal(t, http.StatusOK, response.StatusCode)
			return response.Body.Close()
		}
	}
	t.Run("answers lost", func(t *testing.T) {
		f, post := newFleet(t, StartFault{Cut: CutAnswers})
		require.Error(t, post("/run-start"))
		require.Equal(t, 1, f.RunsOn("i-0000"))
		require.Error(t, post("/run-stop"))
		require.Zero(t, f.RunsOn("i-0000"), "the stop is executed")
		f.DeliverAnswers("i-0000")
		require.NoError(t, post("/hold"))
	})
	t.Run("answered, then cut off", func(t *testing.T) {
		f, post := newFleet(t, StartFault{Cut: CutBoth, Answered: true})
		require.NoError(t, post("/run-start"))
		require.Error(t, post("/run-stop"))
		require.Equal(t, 1, f.RunsOn("i-0000"), "the stop is not executed")
		f.Reconnect("i-0000")
		require.NoError(t, post("/hold"))
		require.False(t, f.FailureIsJustified("j", 3))
	})
	for _, newID := range []bool{false, true} {
		name, id := "crash, back under the same ID", "i-0000"
		if newID {
			name, id = "crash, back under new IDs", "i-0002"
		}
		t.Run(name, func(t *testing.T) {
			const down = 400 * time.Millisecond
			f, post := newFleet(t, StartFault{Answered: true, CrashFor: down, NewID: newID})
			born := f.workers["i-0000"].born
			for crash := 1; crash <= crashesToFail; crash++ {
				require.False(t, f.FailureIsJustified("j", 3))
				require.NoError(t, post("/run-start"))
				time.Sleep(down / 2)
				require.Error(t, post("/hold"))
				require.Eventually(t, func() bool { return post("/hold") == nil }, 5*time.Second, 10*time.Millisecond)
			}
			require.True(t, f.FailureIsJustified("j", 3))
			f.mu.Lock()
			defer f.mu.Unlock()
			require.Len(t, f.workers, 1)
			require.Greater(t, f.workers[id].born, born)
			require.Empty(t, f.workers[id].runs)
		})
	}
}
