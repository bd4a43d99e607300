package job

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"briarproxy/core/wire"
)

// workers is the naive truth: which attempt of each task runs or has ended, and
// which attempts a stop has forbidden.
type workers struct {
	running   map[string]map[int64]string // task id -> generation -> VM
	ended     map[string]map[int64]wire.RunState
	forbidden map[string]int64 // task id and VM -> highest forbidden generation
}

func newWorkers() *workers {
	return &workers{running: map[string]map[int64]string{}, ended: map[string]map[int64]wire.RunState{}, forbidden: map[string]int64{}}
}

func (w *workers) start(t *rapid.T, id string, generation int64, vm string) bool {
	if generation <= w.forbidden[id+vm] {
		return false
	}
	if w.running[id] == nil {
		w.running[id] = map[int64]string{}
		w.ended[id] = map[int64]wire.RunState{}
	}
	require.Empty(t, w.running[id], "task %s starts generation %d while another attempt runs", id, generation)
	for _, state := range w.ended[id] {
		require.NotEqual(t, wire.RunFinished, state, "task %s runs again after it finished", id)
	}
	w.running[id][generation] = vm
	return true
}

func (w *workers) end(id string, generation int64, vm string, state wire.RunState) {
	if w.running[id][generation] == vm {
		delete(w.running[id], generation)
		w.ended[id][generation] = state
	}
}

// query asks one VM, as the protocol does: a VM that has not seen the attempt
// forbids it, whatever runs on other VMs.
func (w *workers) query(id string, generation int64, vm string) wire.RunState {
	if running, ok := w.running[id][generation]; ok && running == vm {
		return wire.RunRunning
	}
	if state, ok := w.ended[id][generation]; ok {
		return state
	}
	w.forbidden[id+vm] = max(w.forbidden[id+vm], generation)
	return wire.RunNeverStarted
}

// harness drives a shard as its owner does, with random faults.
type harness struct {
	t      *rapid.T
	shard  *Shard
	log    []Record
	w      *workers
	now    time.Duration
	faults bool
	seed   uint64
}

func (h *harness) chance(name string, oneIn int) bool {
	return h.faults && rapid.IntRange(1, oneIn).Draw(h.t, name) == 1
}

func (h *harness) append(r Record) {
	h.log = append(h.log, r)
	h.shard.Apply(r, h.now)
}

func (h *harness) place() {
	for _, g := range h.shard.NextGroups(h.now, 10) {
		if h.chance("no room", 4) {
			h.shard.NoRoom(g, "no room", h.now)
			continue
		}
		places := make([]Place, len(g.Tasks))
		for i := range places {
			places[i].VM = fmt.Sprintf("vm-%d", rapid.IntRange(0, 3).Draw(h.t, "vm"))
		}
		records := h.shard.Reserved(g, places)
		if h.chance("append unconfirmed", 6) {
			h.log = append(h.log, records...)
			h.shard.NotLogged(g, h.now)
			continue
		}
		for _, r := range records {
			h.append(r)
		}
		for _, r := range records {
			h.start(*r.Intent)
		}
	}
}

func (h *harness) start(in Intent) {
	if !h.shard.Startable(in.Job, in.Index, in.Generation) {
		return
	}
	id := TaskID(in.Job, in.Index)
	switch {
	case h.chance("refused", 5):
		h.w.query(id, in.Generation, in.VM)
		h.record(id, in.Generation, wire.RunNeverStarted)
	case h.chance("start lost", 5):
		h.shard.StartUnknown(in.Job, in.Index, in.Generation)
	case h.chance("answer lost", 5):
		h.w.start(h.t, id, in.Generation, in.VM)
		h.shard.StartUnknown(in.Job, in.Index, in.Generation)
	case h.w.start(h.t, id, in.Generation, in.VM):
		h.shard.Started(in.Job, in.Index, in.Generation)
	default:
		h.record(id, in.Generation, wire.RunNeverStarted)
	}
}

func (h *harness) record(id string, generation int64, state wire.RunState) {
	if r := h.shard.EndRecord(id, generation, state, nil, int64(h.now)); r != nil {
		h.append(*r)
	}
}

func (h *harness) ends() {
	for _, id := range sortedKeys(h.w.running) {
		for _, generation := range sortedKeys(h.w.running[id]) {
			if h.chance("runs on", 2) {
				continue
			}
			state := wire.RunFinished
			if h.chance("fails", 4) {
				state = wire.RunFailed
			}
			h.w.end(id, generation, h.w.running[id][generation], state)
			if !h.chance("report late", 3) {
				h.record(id, generation, state)
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func (h *harness) verify() {
	for _, a := range h.shard.ToVerify(10) {
		if h.chance("worker silent", 3) {
			continue
		}
		if state := h.w.query(a.TaskID, a.Generation, a.VM); state == wire.RunRunning {
			h.shard.FoundRunning(a.TaskID, a.Generation)
		} else {
			h.record(a.TaskID, a.Generation, state)
		}
	}
}

func (h *harness) stop() {
	for _, a := range h.shard.ToStop(10) {
		if h.chance("stop unanswered", 3) {
			h.shard.StopAgain(a)
			continue
		}
		h.w.end(a.TaskID, a.Generation, a.VM, wire.RunStopped)
		h.record(a.TaskID, a.Generation, h.w.query(a.TaskID, a.Generation, a.VM))
	}
}

// reports gives the owner the ends that it has not recorded yet.
func (h *harness) reports() {
	for _, id := range sortedKeys(h.w.ended) {
		for _, generation := range sortedKeys(h.w.ended[id]) {
			if !h.shard.Knows(id, generation) {
				h.record(id, generation, h.w.ended[id][generation])
			}
		}
	}
}

func (h *harness) replay() {
	h.seed++
	h.shard = NewShard(rand.New(rand.NewPCG(h.seed, 1)))
	for _, r := range h.log {
		h.shard.Apply(r, h.now)
	}
	h.shard.FinishReplay(h.now)
}

func (h *harness) round() {
	h.now += 100 * time.Millisecond
	h.place()
	h.ends()
	h.verify()
	h.stop()
	h.reports()
	require.Empty(h.t, h.shard.TakeRefusals(), "the task chart refused an event of the owner")
	if h.chance("new owner", 3) {
		h.replay()
	}
}

// Guards against a task that runs in two places, runs again after it finished, or
// is lost, when starts, answers, appends and owners are lost at any point.
func TestTasksRunInOnePlaceAndAllEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &harness{t: t, w: newWorkers(), faults: true, seed: 1, shard: NewShard(rand.New(rand.NewPCG(1, 1)))}
		jobs := rapid.IntRange(1, 4).Draw(t, "jobs")
		for i := range jobs {
			h.append(Record{Submit: &Submit{
				ID: fmt.Sprintf("job-%d", i), Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"),
				Definition: Definition{Gang: rapid.Bool().Draw(t, "gang"), MaxAttempts: 3},
			}})
		}
		for range rapid.IntRange(1, 15).Draw(t, "rounds") {
			h.round()
			if h.chance("cancel", 8) {
				h.append(Record{Cancel: &Cancel{Job: "job-0"}})
			}
		}
		h.faults = false
		for range 200 {
			h.round()
		}
		for i := range jobs {
			j := h.shard.Get(fmt.Sprintf("job-%d", i))
			require.True(t, j.Finished(), "job %d still has open tasks: %+v", i, j.Tasks)
		}
	})
}

// Guards against a second run of a non-idempotent task whose first attempt was
// lost: only an attempt that never started may be followed by another.
func TestAtMostOnceTaskIsNotRunAgain(t *testing.T) {
	for state, want := range map[wire.RunState]Phase{
		wire.RunNeverStarted: Pending,
		wire.RunStopped:      Failed,
		wire.RunFailed:       Failed,
		wire.RunFinished:     Succeeded,
	} {
		s := NewShard(rand.New(rand.NewPCG(1, 1)))
		s.Apply(Record{Submit: &Submit{ID: "j", Tasks: 1, Definition: Definition{AtMostOnce: true, MaxAttempts: 1}}}, 0)
		records := s.Reserved(s.NextGroups(0, 1)[0], []Place{{VM: "vm"}})
		s.Apply(records[0], 0)
		s.Apply(*s.EndRecord(TaskID("j", 0), 1, state, nil, 0), 0)
		require.Equal(t, want, s.Get("j").Tasks[0].Phase, "after %s", state)
	}
}

// Guards against a gang that is placed in parts.
func TestGangIsOneGroup(t *testing.T) {
	s := NewShard(rand.New(rand.NewPCG(1, 1)))
	s.Apply(Record{Submit: &Submit{ID: "g", Tasks: 3, Definition: Definition{Gang: true}}}, 0)
	groups := s.NextGroups(0, 10)
	require.Len(t, groups, 1)
	require.Equal(t, []int{0, 1, 2}, groups[0].Tasks)
}

// Guards against urgent work that waits behind other work.
func TestUrgentGroupsComeFirst(t *testing.T) {
	s := NewShard(rand.New(rand.NewPCG(1, 1)))
	s.Apply(Record{Submit: &Submit{ID: "low", Tasks: 1, Definition: Definition{Priority: 1}}}, 0)
	s.Apply(Record{Submit: &Submit{ID: "late", Tasks: 1, Definition: Definition{Priority: 9, DeadlineMS: 90}}}, 0)
	s.Apply(Record{Submit: &Submit{ID: "soon", Tasks: 1, Definition: Definition{Priority: 9, DeadlineMS: 10}}}, 0)
	var order []string
	for _, g := range s.NextGroups(0, 10) {
		order = append(order, g.Job.ID)
	}
	require.Equal(t, []string{"soon", "late", "low"}, order)
}
