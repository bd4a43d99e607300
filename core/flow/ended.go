package flow

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"briarproxy/core/fault"
)

// A chunk of ended jobs, for which only the phase is still needed, consists of a version byte,
// the snapshot generation, and one entry per job: a byte with the phase and the id encoding,
// the id, and the difference in age (milliseconds since the end) from the preceding job.
// Numbers are encoded as by binary.PutUvarint.
const (
	endedVersion    = 0x02
	endedTextIDFlag = 0x80 // the id is stored as its length and text; without the flag, as binaryIDBytes bytes that the id spells in hexadecimal
	binaryIDBytes   = 8
	maxEndedAgeMS   = int64(1) << 40 // about 35 years; a larger age means an invalid chunk
)

var endedPhases = [...]Phase{Completed, Failed, Cancelled}

// encodeEndedJobs returns the chunks of ended jobs. The jobs must be sorted by end time, the
// most recent first.
func encodeEndedJobs(jobs []*Job, generation int64, now time.Duration) [][]byte {
	var chunks [][]byte
	var chunk []byte
	previousAge := int64(0)
	for _, j := range jobs {
		if len(chunk) > maxChunkBytes {
			chunks, chunk = append(chunks, chunk), nil
		}
		if chunk == nil {
			chunk, previousAge = binary.AppendUvarint([]byte{endedVersion}, uint64(generation)), 0
		}
		age := max(previousAge, (now - j.EndedAt).Milliseconds())
		chunk = appendEndedJob(chunk, j, age-previousAge)
		previousAge = age
	}
	if chunk != nil {
		chunks = append(chunks, chunk)
	}
	return chunks
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

// restoreEndedJobs adds the jobs of a chunk to the state. The data starts after the version byte.
func (s *State) restoreEndedJobs(data []byte, generation int64, now time.Duration) error {
	r := endedJobReader{remaining: data}
	if got := int64(r.uvarint()); !r.invalid && got != generation {
		return generationMismatch(got, generation)
	}
	age := int64(0)
	for !r.invalid && len(r.remaining) > 0 {
		header := r.next(1)[0]
		id, older := r.id(header), int64(r.uvarint())
		phase := int(header &^ endedTextIDFlag)
		if r.invalid || id == "" || phase >= len(endedPhases) || older < 0 || older > maxEndedAgeMS || s.Jobs[id] != nil {
			r.invalid = true
			break
		}
		if age += older; age > maxEndedAgeMS {
			r.invalid = true
			break
		}
		s.Jobs[id] = &Job{Submit: Submit{ID: id}, Phase: endedPhases[phase], EndedAt: now - time.Duration(age)*time.Millisecond}
	}
	if r.invalid {
		return fault.New(fault.Invalid, "read the snapshot again", "a snapshot chunk of %d bytes with ended jobs is malformed", len(data))
	}
	return nil
}

// endedJobReader reads the fields of a chunk. After a read beyond the end or an invalid field,
// invalid is set.
type endedJobReader struct {
	remaining []byte
	invalid   bool
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
	n := r.uvarint()
	if n > uint64(len(r.remaining)) {
		r.invalid = true
		return ""
	}
	return string(r.next(int(n)))
}
