package flow

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"briarproxy/core/fault"
)

// A chunk of jobs of which only the phase is of use is a version byte, the generation, and for
// each job a byte with its phase and the form of its id, the id, and how much longer ago it
// ended than the job before it. Numbers have the form of binary.PutUvarint.
const (
	overVersion   = 0x02
	overTextID    = 0x80 // the id is a length and text; otherwise it is idBytes in hexadecimal
	idBytes       = 8
	longestOverMS = int64(1) << 40 // bound of an age from another writer
)

var overPhases = [...]Phase{Completed, Failed, Cancelled}

// saveOver returns the chunks of jobs in the order of their ends, the last end first.
func saveOver(jobs []*Job, generation int64, now time.Duration) [][]byte {
	var chunks [][]byte
	var chunk []byte
	former := int64(0)
	for _, j := range jobs {
		if len(chunk) > chunkBytes {
			chunks, chunk = append(chunks, chunk), nil
		}
		if chunk == nil {
			chunk, former = binary.AppendUvarint([]byte{overVersion}, uint64(generation)), 0
		}
		age := max(former, (now - j.EndedAt).Milliseconds())
		chunk = appendOver(chunk, j, age-former)
		former = age
	}
	if chunk != nil {
		chunks = append(chunks, chunk)
	}
	return chunks
}

func appendOver(out []byte, j *Job, olderMS int64) []byte {
	form := byte(0)
	for i, p := range overPhases {
		if p == j.Phase {
			form = byte(i)
		}
	}
	if id, err := hex.DecodeString(j.ID); err == nil && len(id) == idBytes && hex.EncodeToString(id) == j.ID {
		out = append(append(out, form), id...)
	} else {
		out = binary.AppendUvarint(append(out, form|overTextID), uint64(len(j.ID)))
		out = append(out, j.ID...)
	}
	return binary.AppendUvarint(out, uint64(olderMS))
}

// restoreOver takes the jobs of a chunk behind its version byte.
func (s *State) restoreOver(data []byte, generation int64, now time.Duration) error {
	r := overReader{rest: data}
	if is := int64(r.number()); !r.bad && is != generation {
		return foreignChunk(is, generation)
	}
	age := int64(0)
	for !r.bad && len(r.rest) > 0 {
		form := r.take(1)[0]
		id, older := r.id(form), int64(r.number())
		phase := int(form &^ overTextID)
		if r.bad || id == "" || phase >= len(overPhases) || older < 0 || older > longestOverMS || s.Jobs[id] != nil {
			r.bad = true
			break
		}
		if age += older; age > longestOverMS {
			r.bad = true
			break
		}
		s.Jobs[id] = &Job{Submit: Submit{ID: id}, Phase: overPhases[phase], EndedAt: now - time.Duration(age)*time.Millisecond}
	}
	if r.bad {
		return fault.New(fault.Invalid, "read the snapshot again", "a chunk of %d bytes with ended jobs can't be read", len(data))
	}
	return nil
}

// overReader reads the fields of a chunk; bad says that it ended too soon.
type overReader struct {
	rest []byte
	bad  bool
}

func (r *overReader) number() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.bad = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// take returns the next n bytes, or zeros.
func (r *overReader) take(n int) []byte {
	if n > len(r.rest) {
		r.bad = true
		return make([]byte, min(n, idBytes))
	}
	out := r.rest[:n]
	r.rest = r.rest[n:]
	return out
}

func (r *overReader) id(form byte) string {
	if form&overTextID == 0 {
		return hex.EncodeToString(r.take(idBytes))
	}
	n := r.number()
	if n > uint64(len(r.rest)) {
		r.bad = true
		return ""
	}
	return string(r.take(int(n)))
}
