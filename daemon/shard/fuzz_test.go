package shard

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/core/idempotency"
	"briarproxy/core/job"
	"briarproxy/core/wire"
	"briarproxy/daemon/event"
)

// Guards against entries of a shard's stream that stop every owner of the shard, and
// against a state whose own repetition can't be replayed.
func FuzzReplay(f *testing.F) {
	f.Add([]byte(`{"epoch":1,"seq":1,"entries":[{"open":{"owner":"a"}},{"job":{"submit":{"id":"j","tasks":2,"definition":{"gang":true}}}}]}`),
		[]byte(`{"epoch":1,"seq":2,"entries":[{"job":{"intent":{"job":"j","index":0,"generation":1,"vm":"v"}}},{"job":{"cancel":{"job":"j"}}}]}`))
	f.Add([]byte(`{"epoch":2,"seq":1,"entries":[{"job":{"job":{"id":"k","tasks":1,"task_states":[{"phase":"running","generation":1}]}}}]}`),
		[]byte(`{"epoch":2,"seq":2,"entries":[{"job":{"ended":{"job":"k","index":0,"generation":1,"state":"finished"}}}]}`))
	f.Add([]byte(`{"epoch":3,"seq":1,"entries":[{"job":{"submit":{"id":"n","tasks":-1}}},{"job":{"submit":{"id":"n","tasks":9000000000000}}}]}`), []byte(`null`))
	f.Add([]byte(`{"epoch":3,"seq":1,"entries":[{"job":{"job":{"id":"k","task_states":[{"phase":"no such"}]}}}]}`), []byte(`{"entries":[null,{"key":{}}]}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		replay := func(items ...[]byte) *runner {
			rng := rand.New(rand.NewPCG(1, 1))
			r := &runner{Options: Options{Log: event.Discard(), Now: func() time.Duration { return time.Minute }}, rng: rng}
			r.jobs, r.keys = job.NewShard(rng), idempotency.NewTable()
			p := replayer{r: r}
			for _, item := range items {
				p.item(item)
			}
			r.jobs.FinishReplay(time.Minute)
			r.keys.FinishReplay()
			for _, g := range r.jobs.NextGroups(2*time.Minute, 100) {
				r.jobs.NoRoom(g, "none", 2*time.Minute)
			}
			r.jobs.ToVerify(100)
			return r
		}
		before := replay(first, second, first)
		data, err := json.Marshal(Batch{Epoch: 1, Seq: 1, Entries: before.wholeState()})
		require.NoError(t, err)
		after := replay(data)
		require.Equal(t, before.jobs.Len(), after.jobs.Len())
		require.Equal(t, before.keys.Len(), after.keys.Len())
	})
}

// Guards against a submission without an id, whose record every reader refuses: its
// owner would look for a job that does not exist.
func TestSubmissionWithoutAnIDIsRefused(t *testing.T) {
	call := jobCall{args: &wire.JobArgs{Action: wire.JobSubmit, Spec: &wire.JobSpec{}}, reply: make(chan wire.JobReply, 1)}
	(&runner{}).submit(call)
	require.Equal(t, wire.OutcomeNotRun, (<-call.reply).Problem.Outcome)
}
