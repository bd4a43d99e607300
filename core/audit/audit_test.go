package audit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/cluster"
)

func validConfiguration() *cluster.Configuration {
	return &cluster.Configuration{
		Version: 7, Pools: []cluster.Pool{{Name: "p"}}, Limits: cluster.Limits{HeaderTimeout: time.Second, IdleTimeout: time.Minute},
		Queues:     []cluster.Queue{{Name: "q", Host: "a.example", PathPrefix: "/q/", Pool: "p", MaxAttempts: 3, Slack: 2, Target: time.Second, Advice: &cluster.Advice{Decide: time.Millisecond, Valid: time.Second}}},
		Workspaces: []cluster.Workspace{{Name: "w", Keys: cluster.DigestKeys("secret"), Weight: 1}},
	}
}

// Guards against a configuration that is published although an entry can't work.
func TestEachBadEntryIsFound(t *testing.T) {
	require.Empty(t, Check(validConfiguration()))
	for name, c := range map[string]struct {
		spoil func(c *cluster.Configuration)
		want  Finding
	}{
		"version":                {func(c *cluster.Configuration) { c.Version = 0 }, Finding{Error, "version", ""}},
		"duplicate key":          {func(c *cluster.Configuration) { c.Workspaces[0].Keys = cluster.DigestKeys("a", "a") }, Finding{Error, "workspaces", ""}},
		"queue without a pool":   {func(c *cluster.Configuration) { c.Queues[0].Pool = "x" }, Finding{Error, "queues[0].pool", ""}},
		"queue without attempts": {func(c *cluster.Configuration) { c.Queues[0].MaxAttempts = 0 }, Finding{Error, "queues[0].max_attempts", ""}},
		"negative time":          {func(c *cluster.Configuration) { c.Queues[0].Timeout = -1 }, Finding{Error, "queues[0].timeout", ""}},
		"slack without a value":  {func(c *cluster.Configuration) { c.Queues[0].Slack = math.NaN() }, Finding{Error, "queues[0].slack", ""}},
		"pool without a name":    {func(c *cluster.Configuration) { c.Pools = append(c.Pools, cluster.Pool{}) }, Finding{Error, "pools[1].name", ""}},
		"same path":              {func(c *cluster.Configuration) { q := c.Queues[0]; q.Name = "r"; c.Queues = append(c.Queues, q) }, Finding{Unreachable, "queues[1]", ""}},
		"relative path":          {func(c *cluster.Configuration) { c.Queues[0].PathPrefix = "q/" }, Finding{Unreachable, "queues[0].path_prefix", ""}},
		"host with a port":       {func(c *cluster.Configuration) { c.Queues[0].Host = "a.example:80" }, Finding{Unreachable, "queues[0].host", ""}},
		"pool that is off":       {func(c *cluster.Configuration) { c.Pools[0].Standby = true }, Finding{Unreachable, "queues[0].pool", ""}},
		"pool that nobody uses":  {func(c *cluster.Configuration) { c.Pools = append(c.Pools, cluster.Pool{Name: "r"}) }, Finding{Unreachable, "pools[1]", ""}},
		"workspace without a key": {func(c *cluster.Configuration) {
			c.Workspaces = append(c.Workspaces, cluster.Workspace{Name: "v", Weight: 1})
		}, Finding{Unreachable, "workspaces[1].keys", ""}},
		"queue that nobody may use": {func(c *cluster.Configuration) { c.Workspaces[0].Keys = nil }, Finding{Unreachable, "queues[0]", ""}},
		"weight of nothing":         {func(c *cluster.Configuration) { c.Workspaces[0].Weight = 0 }, Finding{Contradiction, "workspaces[0].weight", ""}},
		"tickets that have expired": {func(c *cluster.Configuration) { c.Queues[0].Advice.Valid = 0 }, Finding{Contradiction, "queues[0].advice.valid", ""}},
		"no time for any job":       {func(c *cluster.Configuration) { c.Queues[0].Slack, c.Queues[0].Target = 0, 0 }, Finding{Contradiction, "queues[0].slack", ""}},
		"header beyond idle":        {func(c *cluster.Configuration) { c.Limits.HeaderTimeout = time.Hour }, Finding{Contradiction, "limits.header_timeout", ""}},
	} {
		config := validConfiguration()
		c.spoil(config)
		found := Check(config)
		require.NotEmpty(t, found, name)
		fields := map[Finding]bool{}
		for _, f := range found {
			require.NotContains(t, f.Text, "secret", name)
			fields[Finding{f.Kind, f.Field, ""}] = true
		}
		require.True(t, fields[c.want], "%s: %v", name, found)
	}
}

// Guards against a change that an operator did not mean, and against keys in the output.
func TestEachChangeIsNamedAndNoKeyIsShown(t *testing.T) {
	before, after := validConfiguration(), validConfiguration()
	require.Equal(t, []Finding{{Error, "version", "7 is not above 7, which is in force, so daemons ignore the configuration"}}, Compare(before, after))
	after.Version = 8
	require.Empty(t, Compare(before, after))
	after.Queues[0].Priority, after.Queues[0].Advice = 2, nil
	after.Queues = append(after.Queues, cluster.Queue{Name: "r"})
	after.Pools = nil
	after.Workspaces[0].Keys = cluster.DigestKeys("other", "more")
	texts := map[string]string{}
	for _, f := range Compare(before, after) {
		require.Equal(t, Change, f.Kind)
		texts[f.Field] = f.Text
	}
	require.Equal(t, map[string]string{
		"queue q.Priority": "0 becomes 2", "queue q.Advice": "{Decide:1ms PerVM:0s Valid:1s MaxVMs:0} becomes none", "queue r": "is new", "pool p": "is removed",
		"workspace w.Keys": "2 added, 1 taken away",
	}, texts)
}
