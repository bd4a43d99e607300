package flow

import (
	"encoding/binary"
	"encoding/hex"
	"slices"
	"time"

	"briarproxy/core/fault"
)

// A chunk of ended jobs, for which only the phase is still needed, consists of a version byte,
// the snapshot generation, and one entry per job: a byte with the phase and the id encoding,
// the id, and the difference in age (milliseconds since the end) from the preceding job.
// Numbers are encoded as by binary.PutUvarint. If a job of the snapshot has a workspace, the
// version is endedVersionWithWorkspaces, and each entry ends with a number for its workspace: 0 is
// none, others count the workspaces of the chunk in the order in which they first appear. The name
// follows the number where it appears for the first time, as its length and text.
const (
	endedVersion               = 0x02
	endedVersionWithWorkspaces = 0x03
	endedTextIDFlag            = 0x80 // the id is stored as its length and text; without the flag, as binaryIDBytes bytes that the id spells in hexadecimal
	binaryIDBytes              = 8
	maxEndedAgeMS              = int64(1) << 40 // about 35 years; a larger age means an invalid chunk
)

var endedPhases = [...]Phase{Completed, Failed, Cancelled}

// encodeEndedJobs returns the chunks of ended jobs. The jobs must be sorted by end time, the
// most recent first.
func encodeEndedJobs(jobs []*Job, generation int64, now time.Duration) [][]byte {
	version := byte(endedVersion)
	if slices.ContainsFunc(jobs, func(j *Job) bool { return j.Workspace != "" }) {
		version = endedVersionWithWorkspaces
	}
	var chunks [][]byte
	var chunk []byte
	var workspaces workspaceNumbers
	previousAge := int64(0)
	for _, j := range jobs {
		if len(chunk) > maxChunkBytes {
			chunks, chunk = append(chunks, chunk), nil
		}
		if chunk == nil {
			chunk, previousAge, workspaces = binary.AppendUvarint([]byte{version}, uint64(generation)), 0, workspaceNumbers{}
		}
		age := max(previousAge, (now - j.EndedAt).Milliseconds())
		chunk = appendEndedJob(chunk, j, age-previousAge)
		if version == endedVersionWithWorkspaces {
			chunk = workspaces.append(chunk, j.Workspace)
		}
		previousAge = age
	}
	if chunk != nil {
		chunks = append(chunks, chunk)
	}
	return chunks
}

// workspaceNumbers are the numbers of the workspaces of a chunk.
type workspaceNumbers map[string]uint64

// append appends the number of a workspace, and its name if it is new.
func (w workspaceNumbers) append(out []byte, name string) []byte {
	if name == "" {
		return binary.AppendUvarint(out, 0)
	}
	number, known := w[name]
	if known {
		return binary.AppendUvarint(out, number)
	}
	w[name] = uint64(len(w)) + 1
	out = binary.AppendUvarint(out, w[name])
	out = binary.AppendUvarint(out, uint64(len(name)))
	return append(out, name...)
}

func appendEndedJob(out []byte, j *Job, olderMS int64) []byte {
	header := byte(0)
	for i, p := range endedPhases {
		if p == j.Phase {
			header = byte(i)
		}
	}
	if id, err := hex.DecodeString(j.ID); err == nil && len(id) == binaryIDBytes && hex.EncodeToString(id) == j.ID {
		out = append(append(out, header), id...)
	} else {
		out = binary.AppendUvarint(append(out, header|endedTextIDFlag), uint64(len(j.ID)))
		out = append(out, j.ID...)
	}
	return binary.AppendUvarint(out, uint64(olderMS))
}

// isEndedChunk reports whether a chunk holds ended jobs of which only the phase is needed.
func isEndedChunk(data []byte) bool {
	return len(data) > 0 && (data[0] == endedVersion || data[0] == endedVersionWithWorkspaces)
}

// restoreEndedJobs adds the jobs of a chunk to the state.
func (s *State) restoreEndedJobs(data []byte, generation int64, now time.Duration) error {
	r := endedJobReader{remaining: data[1:]}
	if got := int64(r.uvarint()); !r.invalid && got != generation {
		return generationMismatch(got, generation)
	}
	age := int64(0)
	for !r.invalid && len(r.remaining) > 0 {
		header := r.next(1)[0]
		id, older := r.id(header), int64(r.uvarint())
		workspace := ""
		if data[0] == endedVersionWithWorkspaces {
			workspace = r.workspace()
		}
		phase := int(header &^ endedTextIDFlag)
		if r.invalid || id == "" || phase >= len(endedPhases) || older < 0 || older > maxEndedAgeMS || s.Jobs[id] != nil {
			r.invalid = true
			break
		}
		if age += older; age > maxEndedAgeMS {
			r.invalid = true
			break
		}
		s.Jobs[id] = &Job{Submit: Submit{ID: id, Workspace: workspace}, Phase: endedPhases[phase], EndedAt: now - time.Duration(age)*time.Millisecond}
	}
	if r.invalid {
		return fault.New(fault.Invalid, "read the snapshot again", "a snapshot chunk of %d bytes with ended jobs is malformed", len(data))
	}
	return nil
}

// endedJobReader reads the fields of a chunk. After a read beyond the end or an invalid field,
// invalid is set.
type endedJobReader struct {
	remaining  []byte
	workspaces []string // in the order of their numbers, from 1
	invalid    bool
}

func (r *endedJobReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.remaining)
	if n <= 0 {
		r.invalid = true
		return 0
	}
	r.remaining = r.remaining[n:]
	return v
}

// next returns the next n bytes. If fewer remain, it sets invalid and returns zeros.
func (r *endedJobReader) next(n int) []byte {
	if n > len(r.remaining) {
		r.invalid = true
		return make([]byte, min(n, binaryIDBytes))
	}
	out := r.remaining[:n]
	r.remaining = r.remaining[n:]
	return out
}

func (r *endedJobReader) id(header byte) string {
	if header&endedTextIDFlag == 0 {
		return hex.EncodeToString(r.next(binaryIDBytes))
	}
	return r.text()
}

// text reads a length and the text of that length.
func (r *endedJobReader) text() string {
	n := r.uvarint()
	if n > uint64(len(r.remaining)) {
		r.invalid = true
		return ""
	}
	return string(r.next(int(n)))
}

func (r *endedJobReader) workspace() string {
	number := r.uvarint()
	switch known := uint64(len(r.workspaces)); {
	case number == 0:
		return ""
	case number <= known:
		return r.workspaces[number-1]
	case number > known+1:
		r.invalid = true
		return ""
	}
	r.workspaces = append(r.workspaces, r.text())
	return r.workspaces[number-1]
}
