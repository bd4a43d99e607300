package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a cut that loses the runs of a worker, executes a command that came in during it, or never ends.
func TestReconnectedWorkerHasExecutedNothing(t *testing.T) {
	f, err := NewFleet(NewStore(), "pool", 1, Size{Cpu: 1}, time.Second)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	f.SetStepPlan("j", 0, StepPlan{Takes: 400 * time.Millisecond})
	client := &http.Client{Timeout: 300 * time.Millisecond}
	post := func(path string, c *command) (finished [][]any, err error) {
		c.DeadlineMs = f.workers["i-0000"].clock() + 500
		body, err := json.Marshal(c)
		require.NoError(t, err)
		response, err := client.Post("http://"+f.workers["i-0000"].address+path, "application/json", bytes.NewReader(body))
		if err != nil {
			return nil, err
		}
		defer response.Body.Close() //nolint:errcheck // The body is read to its end.
		require.Equal(t, http.StatusOK, response.StatusCode)
		var report struct{ Finished [][]any }
		return report.Finished, json.NewDecoder(response.Body).Decode(&report)
	}
	_, err = post("/run-start", &command{Task: "j.0.0.0", Run: 1})
	require.NoError(t, err)
	f.Silence("i-0000")
	_, err = post("/run-start", &command{Task: "j.0.0.1", Run: 1}) // over the open connection
	require.Error(t, err)
	_, err = post("/run-start", &command{Task: "j.0.0.1", Run: 1}) // over a new connection
	require.Error(t, err)
	f.Reconnect("i-0000")
	finished, err := post("/hold", &command{})
	require.NoError(t, err)
	require.Equal(t, 1, f.Starts())
	require.Len(t, finished, 1)
	require.Equal(t, []any{"j.0.0.0", 1.0, "done"}, finished[0][1:4], "the run ended before the lease")
}
