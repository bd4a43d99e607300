package flow

import (
	"cmp"
	"encoding/json"
	"hash/crc32"
	"maps"
	"slices"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/share"
	"briarproxy/core/speed"
)

// maxChunkBytes is the target size of a snapshot chunk. It is below the log's limit for a record.
const maxChunkBytes = 128 << 10

// endedJobDetailRetention is how long an ended job keeps its steps and tasks, in memory and in
// snapshots: a run that was planned before the end may still be recorded.
const endedJobDetailRetention = 5 * time.Second

// savedChunk is one chunk of a snapshot. The generation distinguishes chunks of consecutive
// snapshots, because a reader may already see chunks of the next one.
type savedChunk struct {
	Generation int64             `json:"g"`
	Jobs       []json.RawMessage `json:"j"`
	Speeds     []speed.Saved     `json:"v,omitempty"` // in the first chunk only
	Tombstones []json.RawMessage `json:"d,omitempty"` // in chunks of their own, the oldest first
}

// savedTombstone is the stored form of a tombstone.
type savedTombstone struct {
	ID        string `json:"i"`
	Workspace string `json:"w,omitempty"`
	AgeMS     int64  `json:"a,omitempty"`
}

// encode returns the stored form of the chunk.
func (c *savedChunk) encode() ([]byte, error) {
	data, err := json.Marshal(c)
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "snapshot chunk cannot be encoded")
	}
	return data, nil
}

// SnapshotHead describes a complete snapshot. It is written after all chunks.
type SnapshotHead struct {
	Generation int64                   `json:"g"`
	Chunks     int                     `json:"n"`
	Parts      []SnapshotPart          `json:"p"` // one per chunk
	Next       int64                   `json:"x"` // offset of the first record that the snapshot does not include
	Claim      Claim                   `json:"c"`
	Token      int64                   `json:"k"` // fencing token of the claim
	Members    []Hello                 `json:"m,omitempty"`
	Superseded []Claim                 `json:"u,omitempty"` // see State.Superseded
	Rates      map[string]share.Bucket `json:"r,omitempty"` // see State.Rates; without full buckets
	LossAgeMS  *int64                  `json:"l,omitempty"` // time since State.LossAt; nil if that is 0
}

// savedJob is the stored form of a job with its steps and tasks.
type savedJob struct {
	Submit     *Submit             `json:"s,omitempty"`
	Offset     int64               `json:"o,omitempty"`
	Phase      Phase               `json:"p"`
	EndedMS    int64               `json:"e,omitempty"` // time since the end of the job
	Occurred   map[int][]savedStep `json:"k,omitempty"`
	BeyondRate bool                `json:"b,omitempty"`
}

type savedStep struct {
	Run      int         `json:"r,omitempty"`
	Failures int         `json:"f,omitempty"`
	Failed   int         `json:"l,omitempty"`
	Tasks    []TaskState `json:"t"`
}

// SnapshotPart describes a chunk. It lets a reader determine which chunks are missing and reject
// a chunk that is damaged or belongs to another snapshot.
type SnapshotPart struct {
	Bytes  int    `json:"b"`
	Sum    uint32 `json:"s"` // CRC-32
	Offset int64  `json:"o"` // offset at which the writer stored the chunk
}

// DescribeChunk returns the description of a chunk that is not stored yet, without its offset.
func DescribeChunk(chunk []byte) SnapshotPart {
	return SnapshotPart{Bytes: len(chunk), Sum: crc32.ChecksumIEEE(chunk)}
}

func (p SnapshotPart) matches(chunk []byte) bool {
	return len(chunk) == p.Bytes && crc32.ChecksumIEEE(chunk) == p.Sum
}

// Encode returns the stored form of the head.
func (h *SnapshotHead) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	if err == nil {
		data, err = compress(data)
	}
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "snapshot head cannot be encoded")
	}
	return data, nil
}

// DecodeHead decodes and validates a stored head.
func DecodeHead(data []byte) (SnapshotHead, error) {
	var head SnapshotHead
	plain, err := decompress(data)
	if err == nil {
		err = json.Unmarshal(plain, &head)
	}
	if err != nil {
		return SnapshotHead{}, fault.Wrap(err, fault.Invalid, "remove the invalid snapshot head", "snapshot head cannot be decoded")
	}
	negativeOffset := slices.ContainsFunc(head.Parts, func(p SnapshotPart) bool { return p.Offset < 0 })
	if negativeOffset || head.Generation < 0 || head.Chunks < 1 || head.Chunks != len(head.Parts) {
		return SnapshotHead{}, fault.New(fault.Invalid, "remove the snapshot head: another version of the daemon or another program wrote it", "head of snapshot %d is invalid: it describes %d of %d chunks", head.Generation, len(head.Parts), head.Chunks)
	}
	return head, nil
}

// Snapshot returns the state as a head and chunks. The data needed for placement comes first;
// ended jobs, of which only the phase is still needed, come last.
func (s *State) Snapshot(generation int64, now time.Duration) (SnapshotHead, [][]byte, error) {
	head := SnapshotHead{Generation: generation, Next: s.NextOffset, Claim: s.Claim, Token: s.ClaimToken}
	for _, m := range s.Members {
		head.Members = append(head.Members, m.Hello)
	}
	for _, c := range s.Superseded {
		head.Superseded = append(head.Superseded, c.Claim)
	}
	head.Rates = s.ratesForSnapshot()
	if s.LossAt != 0 {
		age := (now - s.LossAt).Milliseconds()
		head.LossAgeMS = &age
	}
	full, ended := s.jobsForSnapshot(now)
	chunks, err := encodeFullJobs(full, s.speedsForSnapshot(), generation, now)
	if err != nil {
		return SnapshotHead{}, nil, err
	}
	tombstones, err := encodeTombstones(s.tombstones.sorted(), generation, now)
	if err != nil {
		return SnapshotHead{}, nil, err
	}
	chunks = append(chunks, tombstones...)
	chunks = append(chunks, encodeEndedJobs(ended, generation, now)...)
	head.Chunks = len(chunks)
	for _, chunk := range chunks {
		head.Parts = append(head.Parts, DescribeChunk(chunk))
	}
	return head, chunks, nil
}

// ratesForSnapshot returns the buckets that are not full. A workspace without a bucket has a full one.
func (s *State) ratesForSnapshot() map[string]share.Bucket {
	newestMS := int64(0)
	for _, b := range s.Rates {
		newestMS = max(newestMS, b.AtMS)
	}
	var rates map[string]share.Bucket
	for name, b := range s.Rates {
		if b.Full(newestMS) {
			continue
		}
		if rates == nil {
			rates = map[string]share.Bucket{}
		}
		rates[name] = b
	}
	return rates
}

// jobsForSnapshot returns the jobs that are saved in full, unfinished ones first, and the ended
// jobs of which only the phase is saved, the most recently ended first.
func (s *State) jobsForSnapshot(now time.Duration) (full, ended []*Job) {
	for _, j := range s.Jobs {
		if j.onlyPhaseNeeded(now) {
			ended = append(ended, j)
		} else {
			full = append(full, j)
		}
	}
	slices.SortFunc(full, func(a, b *Job) int {
		if a.Phase.Final() != b.Phase.Final() {
			return map[bool]int{false: -1, true: 1}[a.Phase.Final()]
		}
		return cmp.Compare(a.Offset, b.Offset)
	})
	slices.SortFunc(ended, func(a, b *Job) int { return cmp.Compare(b.EndedAt, a.EndedAt) })
	return full, ended
}

func (s *State) speedsForSnapshot() []speed.Saved {
	return slices.SortedFunc(maps.Values(s.Speeds), func(a, b speed.Saved) int { return cmp.Compare(a.Worker, b.Worker) })
}

// encodeFullJobs returns the chunks of jobs with their steps and tasks, at least one chunk.
func encodeFullJobs(jobs []*Job, speeds []speed.Saved, generation int64, now time.Duration) ([][]byte, error) {
	var chunks [][]byte
	chunk, size := savedChunk{Generation: generation, Speeds: speeds}, 0
	flush := func() error {
		data, err := chunk.encode()
		if err != nil {
			return err
		}
		chunks = append(chunks, data)
		chunk.Jobs, chunk.Speeds, size = nil, nil, 0
		return nil
	}
	for _, j := range jobs {
		data, err := json.Marshal(toSavedJob(j, now))
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "job %s cannot be encoded for the snapshot", j.ID)
		}
		if size > 0 && size+len(data) > maxChunkBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		chunk.Jobs = append(chunk.Jobs, data)
		size += len(data)
	}
	return chunks, flush()
}

// encodeTombstones returns chunks of at most maxChunkBytes before compression, as ids may be incompressible.
func encodeTombstones(all []*tombstone, generation int64, now time.Duration) ([][]byte, error) {
	var chunks [][]byte
	chunk, size := savedChunk{Generation: generation}, 0
	for i, t := range all {
		data, err := json.Marshal(savedTombstone{t.id, t.workspace, (now - t.at).Milliseconds()})
		if err != nil {
			return nil, fault.Wrap(err, fault.Internal, "report this as a bug", "the cancellation of %q cannot be encoded for the snapshot", t.id)
		}
		chunk.Tombstones = append(chunk.Tombstones, data)
		size += len(data)
		if size < maxChunkBytes && i < len(all)-1 {
			continue
		}
		encoded, err := chunk.encode()
		if err != nil {
			return nil, err
		}
		chunks = append(chunks, encoded)
		chunk.Tombstones, size = nil, 0
	}
	return chunks, nil
}

func (s *State) restoreTombstones(saved []savedTombstone, now time.Duration) {
	for i := range saved {
		if t := &saved[i]; t.ID != "" {
			s.tombstones.add(t.ID, t.Workspace, now-time.Duration(t.AgeMS)*time.Millisecond)
		}
	}
}

func toSavedJob(j *Job, now time.Duration) savedJob {
	saved := savedJob{Phase: j.Phase, Offset: j.Offset, BeyondRate: j.BeyondRate}
	if j.Phase.Final() {
		saved.EndedMS = (now - j.EndedAt).Milliseconds()
	}
	saved.Submit = &j.Submit
	saved.Occurred = map[int][]savedStep{}
	for k, o := range j.Occurrences {
		steps := make([]savedStep, len(o.Steps))
		for i := range o.Steps {
			st := &o.Steps[i]
			steps[i] = savedStep{Run: st.HighestRun, Failures: st.Failures, Failed: st.lastFailedRun, Tasks: st.Tasks}
		}
		saved.Occurred[k] = steps
	}
	return saved
}

// Restorer rebuilds a state from a snapshot chunk by chunk.
type Restorer struct {
	head  SnapshotHead
	state *State
	added int
}

// NewRestorer returns a restorer to which no chunk has been added.
func NewRestorer(head SnapshotHead) *Restorer { return &Restorer{head: head, state: NewState()} }

// Head returns the head of the snapshot.
func (r *Restorer) Head() *SnapshotHead { return &r.head }

// ChunksAdded returns the number of chunks added so far, which is the index of the next one.
func (r *Restorer) ChunksAdded() int { return r.added }

// Complete reports whether all chunks have been added.
func (r *Restorer) Complete() bool { return r.added == r.head.Chunks }

// AddChunk adds the next chunk. A chunk that does not match the head's description is rejected
// and changes nothing.
func (r *Restorer) AddChunk(chunk []byte, now time.Duration) error {
	if r.added >= len(r.head.Parts) || !r.head.Parts[r.added].matches(chunk) {
		return fault.New(fault.Invalid, "read the snapshot again", "chunk %d of snapshot %d is damaged or belongs to another snapshot", r.added, r.head.Generation)
	}
	if err := r.state.restoreChunk(chunk, r.head.Generation, now); err != nil {
		return err
	}
	r.added++
	return nil
}

// State returns the restored state. It fails unless all chunks have been added.
func (r *Restorer) State(now time.Duration) (*State, error) {
	if !r.Complete() {
		return nil, fault.New(fault.Invalid, "read the snapshot again", "snapshot is incomplete: got %d of %d chunks", r.added, r.head.Chunks)
	}
	s := r.state
	s.NextOffset, s.ClaimToken, s.LastHeard = r.head.Next, r.head.Token, now
	s.RestoreMembership(&r.head, now)
	if age := r.head.LossAgeMS; age != nil {
		s.LossAt = now - time.Duration(*age)*time.Millisecond
	}
	for name, b := range r.head.Rates {
		s.Rates[name] = b
	}
	return s, nil
}

// RestoreMembership sets the claims and adds the members that the head of a snapshot describes.
// Jobs and the other members stay as they are. How long ago a claim was superseded is not known, so
// that time is taken to be now.
func (s *State) RestoreMembership(head *SnapshotHead, now time.Duration) {
	s.Claim, s.Superseded = head.Claim, nil
	for _, c := range head.Superseded {
		s.Superseded = append(s.Superseded, SupersededClaim{Claim: c, At: now})
	}
	for _, h := range head.Members {
		s.Members[h.Daemon] = Member{Hello: h, LastSeen: now}
	}
}

// Restore returns the state that the snapshot's head and chunks describe.
func Restore(head SnapshotHead, chunks [][]byte, now time.Duration) (*State, error) {
	r := NewRestorer(head)
	for _, chunk := range chunks {
		if err := r.AddChunk(chunk, now); err != nil {
			return nil, err
		}
	}
	return r.State(now)
}

// restoreChunk adds the jobs of one chunk to the state.
func (s *State) restoreChunk(data []byte, generation int64, now time.Duration) error {
	if isEndedChunk(data) {
		return s.restoreEndedJobs(data, generation, now)
	}
	plain, err := decompress(data)
	var chunk struct {
		Generation int64            `json:"g"`
		Jobs       []savedJob       `json:"j"`
		Speeds     []speed.Saved    `json:"v"`
		Tombstones []savedTombstone `json:"d"`
	}
	if err == nil {
		err = json.Unmarshal(plain, &chunk)
	}
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "read the snapshot again", "snapshot chunk cannot be decoded")
	}
	if chunk.Generation != generation {
		return generationMismatch(chunk.Generation, generation)
	}
	s.applySpeeds(chunk.Speeds)
	s.restoreTombstones(chunk.Tombstones, now)
	for i := range chunk.Jobs {
		if err := s.restoreJob(&chunk.Jobs[i], now); err != nil {
			return err
		}
	}
	return nil
}

func generationMismatch(got, want int64) error {
	return fault.New(fault.Invalid, "read the snapshot again", "snapshot chunk has generation %d, want %d", got, want)
}

func (s *State) restoreJob(saved *savedJob, now time.Duration) error {
	if saved.Submit == nil {
		return fault.New(fault.Invalid, "read the snapshot again", "job in the snapshot has no submission")
	}
	j := &Job{Offset: saved.Offset, Phase: saved.Phase, BeyondRate: saved.BeyondRate, EndedAt: now - time.Duration(saved.EndedMS)*time.Millisecond}
	if err := saved.Submit.validate(); err != nil {
		return err
	}
	j.Submit = *saved.Submit
	s.Jobs[j.ID] = j
	if j.Phase == Queued && j.Times == 0 {
		s.Pending[j.Queue]++
	}
	for k, steps := range saved.Occurred {
		if k < 0 || k >= j.Submit.Occurrences() {
			return fault.New(fault.Invalid, "read the snapshot again", "snapshot has invalid occurrence %d of job %s", k, j.ID)
		}
		o := j.ensureOccurrence(k)
		for i := range steps {
			if i < len(o.Steps) && len(steps[i].Tasks) == len(o.Steps[i].Tasks) {
				restoreStep(j, o, &o.Steps[i], &steps[i])
			}
		}
		if o.CompletedSteps == len(o.Steps) {
			j.CompletedOccurrences++
		}
	}
	return nil
}

func restoreStep(j *Job, o *Occurrence, st *StepState, saved *savedStep) {
	st.HighestRun, st.Failures, st.lastFailedRun = saved.Run, saved.Failures, saved.Failed
	copy(st.Tasks, saved.Tasks)
	for i := range st.Tasks {
		if st.Tasks[i].Done {
			st.DoneTasks++
		}
		if st.Tasks[i].Active {
			j.ActiveRuns++
		}
	}
	if st.Complete() {
		o.CompletedSteps++
	}
}
