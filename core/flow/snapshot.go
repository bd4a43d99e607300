package flow

import (
	"cmp"
	"encoding/json"
	"hash/crc32"
	"slices"
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
	Generation int64          `json:"g"`
	Chunks     int            `json:"n"`
	Parts      []SnapshotPart `json:"p"` // one for each chunk
	Next       int64          `json:"x"` // offset of the first record that the snapshot does not know
	Claim      Claim          `json:"c"`
	Token      int64          `json:"k"`
	Members    []Hello        `json:"m,omitempty"`
}

// savedJob is a job that is saved whole.
type savedJob struct {
	Submit   *Submit             `json:"s,omitempty"`
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

// SnapshotPart describes a chunk, so that a reader knows what it lacks and rejects a chunk that
// is damaged or of another snapshot.
type SnapshotPart struct {
	Bytes  int    `json:"b"`
	Sum    uint32 `json:"s"` // CRC-32
	Offset int64  `json:"o"` // where the writer stored it
}

// PartOf describes a chunk that is not stored yet.
func PartOf(chunk []byte) SnapshotPart {
	return SnapshotPart{Bytes: len(chunk), Sum: crc32.ChecksumIEEE(chunk)}
}

func (p SnapshotPart) describes(chunk []byte) bool {
	return len(chunk) == p.Bytes && crc32.ChecksumIEEE(chunk) == p.Sum
}

// Encode returns the head as it is stored.
func (h *SnapshotHead) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err == nil {
		data, err = pack(data)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "the head of a snapshot can't be encoded")
	}
	return data, nil
}

// DecodeHead reads a stored head.
func DecodeHead(data []byte) (SnapshotHead, error) {
	var head SnapshotHead
	plain, err := unpack(data)
	if err == nil {
		err = json.Unmarshal(plain, &head)
	}
	if err != nil {
		return SnapshotHead{}, fault.Wrap(err, fault.Invalid, "remove the foreign head of the snapshot", "the head of the snapshot can't be read")
	}
	foreign := slices.ContainsFunc(head.Parts, func(p SnapshotPart) bool { return p.Offset < 0 })
	if foreign || head.Generation < 0 || head.Chunks < 1 || head.Chunks != len(head.Parts) {
		return SnapshotHead{}, fault.New(fault.Invalid, "remove the head of a foreign or former version", "the head of snapshot %d describes %d of %d chunks", head.Generation, len(head.Parts), head.Chunks)
	}
	return head, nil
}

// Snapshot returns the state as a head and chunks. What is needed to place comes first, the
// jobs of which only the phase is of use come last.
func (s *State) Snapshot(generation int64, now time.Duration) (SnapshotHead, [][]byte, error) {
	head := SnapshotHead{Generation: generation, Next: s.Next, Claim: s.Claim, Token: s.Token}
	for _, m := range s.Members {
		head.Members = append(head.Members, m.Hello)
	}
	whole, over := s.byUse(now)
	chunks, err := saveWhole(whole, generation, now)
	if err != nil {
		return SnapshotHead{}, nil, err
	}
	chunks = append(chunks, saveOver(over, generation, now)...)
	head.Chunks = len(chunks)
	for _, chunk := range chunks {
		head.Parts = append(head.Parts, PartOf(chunk))
	}
	return head, chunks, nil
}

// byUse returns the jobs that are saved whole, those that have not ended first, and the
// others, those that ended last first.
func (s *State) byUse(now time.Duration) (whole, over []*Job) {
	for _, j := range s.Jobs {
		if j.over(now) {
			over = append(over, j)
		} else {
			whole = append(whole, j)
		}
	}
	slices.SortFunc(whole, func(a, b *Job) int {
		if a.Phase.Final() != b.Phase.Final() {
			return map[bool]int{false: -1, true: 1}[a.Phase.Final()]
		}
		return cmp.Compare(a.Offset, b.Offset)
	})
	slices.SortFunc(over, func(a, b *Job) int { return cmp.Compare(b.EndedAt, a.EndedAt) })
	return whole, over
}

// saveWhole returns the chunks of jobs with all that is known of them, one chunk at least.
func saveWhole(jobs []*Job, generation int64, now time.Duration) ([][]byte, error) {
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
	for _, j := range jobs {
		data, err := json.Marshal(saveJob(j, now))
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "job %s can't be saved", j.ID)
		}
		if size > 0 && size+len(data) > chunkBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		chunk.Jobs = append(chunk.Jobs, data)
		size += len(data)
	}
	return chunks, flush()
}

func saveJob(j *Job, now time.Duration) savedJob {
	saved := savedJob{Phase: j.Phase, Offset: j.Offset}
	if j.Phase.Final() {
		saved.EndedMS = (now - j.EndedAt).Milliseconds()
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

// Restorer takes a snapshot chunk by chunk.
type Restorer struct {
	head  SnapshotHead
	state *State
	taken int
}

// NewRestorer returns a restorer that has taken no chunk.
func NewRestorer(head SnapshotHead) *Restorer { return &Restorer{head: head, state: NewState()} }

// Head returns the head of the snapshot.
func (r *Restorer) Head() *SnapshotHead { return &r.head }

// Taken returns how many chunks were taken; it is the index of the next one.
func (r *Restorer) Taken() int { return r.taken }

// Complete reports whether all chunks were taken.
func (r *Restorer) Complete() bool { return r.taken == r.head.Chunks }

// Take takes the next chunk. A chunk that the head does not describe changes nothing.
func (r *Restorer) Take(chunk []byte, now time.Duration) error {
	if r.taken >= len(r.head.Parts) || !r.head.Parts[r.taken].describes(chunk) {
		return fault.New(fault.Invalid, "read the snapshot again", "chunk %d of snapshot %d is damaged or of another one", r.taken, r.head.Generation)
	}
	if err := r.state.restoreChunk(chunk, r.head.Generation, now); err != nil {
		return err
	}
	r.taken++
	return nil
}

// State returns the state that a complete snapshot holds.
func (r *Restorer) State(now time.Duration) (*State, error) {
	if !r.Complete() {
		return nil, fault.New(fault.Invalid, "read the snapshot again", "the snapshot has %d of %d chunks", r.taken, r.head.Chunks)
	}
	s := r.state
	s.Next, s.Token, s.Heard = r.head.Next, r.head.Token, now
	s.Meet(&r.head, now)
	return s, nil
}

// Meet takes from the head of a snapshot who else there is, and nothing of the jobs.
func (s *State) Meet(head *SnapshotHead, now time.Duration) {
	s.Claim = head.Claim
	for _, h := range head.Members {
		s.Members[h.Daemon] = Member{Hello: h, Seen: now}
	}
}

// Restore returns the state that a snapshot holds.
func Restore(head SnapshotHead, chunks [][]byte, now time.Duration) (*State, error) {
	r := NewRestorer(head)
	for _, chunk := range chunks {
		if err := r.Take(chunk, now); err != nil {
			return nil, err
		}
	}
	return r.State(now)
}

// restoreChunk takes the jobs of one part.
func (s *State) restoreChunk(data []byte, generation int64, now time.Duration) error {
	if len(data) > 0 && data[0] == overVersion {
		return s.restoreOver(data[1:], generation, now)
	}
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
		return foreignChunk(chunk.Generation, generation)
	}
	for i := range chunk.Jobs {
		if err := s.restoreJob(&chunk.Jobs[i], now); err != nil {
			return err
		}
	}
	return nil
}

func foreignChunk(is, should int64) error {
	return fault.New(fault.Invalid, "read the snapshot again", "a chunk of generation %d among those of %d", is, should)
}

func (s *State) restoreJob(saved *savedJob, now time.Duration) error {
	if saved.Submit == nil {
		return fault.New(fault.Invalid, "read the snapshot again", "a job of the snapshot has no submission")
	}
	j := &Job{Offset: saved.Offset, Phase: saved.Phase, EndedAt: now - time.Duration(saved.EndedMS)*time.Millisecond}
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
