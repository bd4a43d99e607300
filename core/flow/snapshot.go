package flow

import (
	"encoding/json"
	"time"

	"briarproxy/core/fault"
)

// chunkBytes bounds a part of a snapshot, below the record limit of the log.
const chunkBytes = 128 << 10

// wholeAfterEnd is how long a job that has ended is kept and saved whole: a run of it that was
// planned before may still be recorded.
const wholeAfterEnd = 5 * time.Second

// savedChunk is a part of a snapshot. The generation tells parts of two snapshots apart: a
// reader may see some of the next one already.
type savedChunk struct {
	Generation int64             `json:"g"`
	Jobs       []json.RawMessage `json:"j"`
}

// SnapshotHead names a complete snapshot. It is written after its chunks.
type SnapshotHead struct {
	Generation int64   `json:"g"`
	Chunks     int     `json:"n"`
	Next       int64   `json:"x"` // offset of the first record that the snapshot does not know
	Claim      Claim   `json:"c"`
	Token      int64   `json:"k"`
	Members    []Hello `json:"m,omitempty"`
}

// savedJob is a job in a snapshot. Jobs that ended a while ago and have no run left keep
// only their id and phase.
type savedJob struct {
	Submit   *Submit             `json:"s,omitempty"`
	ID       string              `json:"id,omitempty"`
	Offset   int64               `json:"o,omitempty"`
	Phase    Phase               `json:"p"`
	EndedMS  int64               `json:"e,omitempty"` // how long ago it ended
	Occurred map[int][]savedStep `json:"k,omitempty"`
}

type savedStep struct {
	Run      int         `json:"r,omitempty"`
	Failures int         `json:"f,omitempty"`
	Failed   int         `json:"l,omitempty"`
	Tasks    []TaskState `json:"t"`
}

// Snapshot returns the state as a head and chunks.
func (s *State) Snapshot(generation int64, now time.Duration) (SnapshotHead, [][]byte, error) {
	head := SnapshotHead{Generation: generation, Next: s.Next, Claim: s.Claim, Token: s.Token}
	for _, m := range s.Members {
		head.Members = append(head.Members, m.Hello)
	}
	var chunks [][]byte
	chunk, size := savedChunk{Generation: generation}, 0
	flush := func() error {
		data, err := json.Marshal(chunk)
		if err == nil {
			data, err = pack(data)
		}
		if err != nil {
			return fault.Wrap(err, fault.Internal, "report this as a bug", "a part of the snapshot can't be encoded")
		}
		chunks = append(chunks, data)
		chunk.Jobs, size = nil, 0
		return nil
	}
	for _, j := range s.Jobs {
		data, err := json.Marshal(saveJob(j, now))
		if err != nil {
			return SnapshotHead{}, nil, fault.Wrap(err, fault.Internal, "report this as a bug", "job %s can't be saved", j.ID)
		}
		if size > 0 && size+len(data) > chunkBytes {
			if err := flush(); err != nil {
				return SnapshotHead{}, nil, err
			}
		}
		chunk.Jobs = append(chunk.Jobs, data)
		size += len(data)
	}
	if err := flush(); err != nil {
		return SnapshotHead{}, nil, err
	}
	head.Chunks = len(chunks)
	return head, chunks, nil
}

func saveJob(j *Job, now time.Duration) savedJob {
	saved := savedJob{Phase: j.Phase, Offset: j.Offset}
	if j.Phase.Final() {
		saved.EndedMS = (now - j.EndedAt).Milliseconds()
		if j.over(now) {
			saved.ID = j.ID
			return saved
		}
	}
	saved.Submit = &j.Submit
	saved.Occurred = map[int][]savedStep{}
	for k, o := range j.Occurrences {
		steps := make([]savedStep, len(o.Steps))
		for i := range o.Steps {
			st := &o.Steps[i]
			steps[i] = savedStep{Run: st.Run, Failures: st.Failures, Failed: st.failed, Tasks: st.Tasks}
		}
		saved.Occurred[k] = steps
	}
	return saved
}

// Restore returns the state that a snapshot holds.
func Restore(head SnapshotHead, chunks [][]byte, now time.Duration) (*State, error) {
	s := NewState()
	s.Next, s.Claim, s.Token, s.Heard = head.Next, head.Claim, head.Token, now
	for _, h := range head.Members {
		s.Members[h.Daemon] = Member{Hello: h, Seen: now}
	}
	if len(chunks) != head.Chunks {
		return nil, fault.New(fault.Invalid, "read the snapshot again", "the snapshot has %d of %d chunks", len(chunks), head.Chunks)
	}
	for _, chunk := range chunks {
		if err := s.restoreChunk(chunk, head.Generation, now); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// restoreChunk takes the jobs of one part.
func (s *State) restoreChunk(data []byte, generation int64, now time.Duration) error {
	plain, err := unpack(data)
	var chunk struct {
		Generation int64      `json:"g"`
		Jobs       []savedJob `json:"j"`
	}
	if err == nil {
		err = json.Unmarshal(plain, &chunk)
	}
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read the snapshot again", "a chunk of the snapshot can't be read")
	}
	if chunk.Generation != generation {
		return fault.New(fault.Invalid, "read the snapshot again", "a chunk of generation %d among those of %d", chunk.Generation, generation)
	}
	for i := range chunk.Jobs {
		if err := s.restoreJob(&chunk.Jobs[i], now); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) restoreJob(saved *savedJob, now time.Duration) error {
	j := &Job{Offset: saved.Offset, Phase: saved.Phase, EndedAt: now - time.Duration(saved.EndedMS)*time.Millisecond}
	if saved.Submit == nil {
		j.ID = saved.ID
		s.Jobs[j.ID] = j
		return nil
	}
	if err := saved.Submit.check(); err != nil {
		return err
	}
	j.Submit = *saved.Submit
	s.Jobs[j.ID] = j
	if j.Phase == Queued && j.Times == 0 {
		s.Pending[j.Queue]++
	}
	for k, steps := range saved.Occurred {
		if k < 0 || k >= j.Submit.Occurrences() {
			return fault.New(fault.Invalid, "read the snapshot again", "the snapshot names occurrence %d of job %s", k, j.ID)
		}
		o := j.occurrence(k)
		for i := range steps {
			if i < len(o.Steps) && len(steps[i].Tasks) == len(o.Steps[i].Tasks) {
				restoreStep(j, o, &o.Steps[i], &steps[i])
			}
		}
		if o.Complete == len(o.Steps) {
			j.Ended++
		}
	}
	return nil
}

func restoreStep(j *Job, o *Occurrence, st *StepState, saved *savedStep) {
	st.Run, st.Failures, st.failed = saved.Run, saved.Failures, saved.Failed
	copy(st.Tasks, saved.Tasks)
	for i := range st.Tasks {
		if st.Tasks[i].Done {
			st.Done++
		}
		if st.Tasks[i].Active {
			j.Active++
		}
	}
	if st.Complete() {
		o.Complete++
	}
}
