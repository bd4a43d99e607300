package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is the platform's metadata store: a log with topics, partitions, keyed topics and
// fenced producers, as PROTOCOL.md describes it. It loses nothing that it has acknowledged.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{} // closed and replaced at each append
	// faultNow is what happens to a share of the calls: "503", "lost" (an append is done and not answered),
	// "late" (the same, 1 to 6 s later), "slow" (the answer takes 400 ms), "silent" or "".
	faultNow   string
	faultShare float64
	keep       time.Duration // keep_s; 0 keeps all records
	tooLarge   int           // appends that were refused because of a record above recordBytes
	rec        *recorder
}

const recordBytes = 262144 // RecordBytes of the settings

// partition is one partition of a topic.
type partition struct {
	records   [][]byte
	times     []time.Time          // when each record was appended
	oldest    int                  // offset of the oldest record that is retained, but for the newest of each key
	newest    map[string]int       // by key of a keyed topic: offset of the newest record
	producers map[string]*producer // by Producer
}

// producer is a fenced writer of a partition.
type producer struct {
	epoch, next int64
	offsets     map[int64]int // by sequence number: offset of the first record of an answered append
}

func newStore(rec *recorder) *Store {
	return &Store{rec: rec, partitions: map[string]*partition{}, changed: make(chan struct{})}
}

// get returns the partition NAME/NUMBER. The caller must hold the lock.
func (s *Store) get(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
		s.partitions[name] = p
	}
	return p
}

// put appends a value of a key to partition 0 of a keyed topic. An empty value drops the key.
func (s *Store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic+"/0", append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *Store) add(name string, record []byte) {
	p := s.get(name)
	if strings.HasPrefix(name, "keyed.") {
		p.newest[string(record[1:1+int(record[0])])] = len(p.records)
	}
	p.records, p.times = append(p.records, record), append(p.times, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("Topic") + "/" + q.Get("part")
	act := s.drawFault()
	switch {
	case act == "503":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case act == "silent":
		<-r.Context().Done()
		return
	case act == "slow":
		time.Sleep(400 * time.Millisecond)
	case r.URL.Path == "/log-append" && act == "lost":
		s.append(httptest.NewRecorder(), r, name)
		panic(http.ErrAbortHandler)
	case r.URL.Path == "/log-append" && act == "late":
		body, _ := io.ReadAll(r.Body)
		copied := r.Clone(context.Background())
		copied.Body = io.NopCloser(bytes.NewReader(body))
		time.AfterFunc(time.Duration(1000+rand.IntN(5000))*time.Millisecond, func() { s.append(httptest.NewRecorder(), copied, name) })
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, name)
	case "/log-read":
		s.read(w, r, name)
	case "/log-newest":
		s.listNewest(w, name, q.Get("StartAfter"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(3 * time.Millisecond) // AppendMs
	s.mu.Lock()
	defer s.mu.Unlock()
	if name == "keyed.op/0" || name == "keyed.servers/0" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	q := r.URL.Query()
	p := s.get(name)
	epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseInt(q.Get("Sequence"), 10, 64)
	var prod *producer
	if id := q.Get("Producer"); id != "" {
		prod = p.producers[id]
		if prod == nil || epoch > prod.epoch {
			prod = &producer{epoch: epoch, next: sequence, offsets: map[int64]int{}}
			p.producers[id] = prod
		}
		if epoch < prod.epoch {
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		}
		if offset, repeated := prod.offsets[sequence]; repeated && sequence >= prod.next-5 {
			writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(p.records)})
			return
		}
		if sequence != prod.next {
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Sequence": prod.next})
			return
		}
	}
	for rest := body; len(rest) >= 4; {
		n := int(binary.BigEndian.Uint32(rest))
		if n > recordBytes {
			s.tooLarge++
			if s.tooLarge%40 == 1 {
				s.rec.line("store: append %d to %s that is refused, a record has %d bytes, more than RecordBytes", s.tooLarge, name, n)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rest = rest[4+n:]
	}
	offset := len(p.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		s.add(name, slices.Clone(body[4:4+n]))
		body = body[4+n:]
	}
	if prod != nil {
		prod.offsets[sequence], prod.next = offset, sequence+1
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(p.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("From"))
	waitMS, _ := strconv.Atoi(q.Get("WaitMs"))
	maxKB, err := strconv.Atoi(q.Get("MaxKb"))
	if err != nil {
		maxKB = 1024
	}
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; waiting; {
		s.mu.Lock()
		end, changed := len(s.get(name).records), s.changed
		s.mu.Unlock()
		if end > from {
			break
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	p := s.get(name)
	for s.keep > 0 && p.oldest < len(p.times) && time.Since(p.times[p.oldest]) > s.keep {
		p.oldest++
	}
	records, oldest := p.records, p.oldest
	s.mu.Unlock()
	if from < oldest {
		writeJSON(w, http.StatusGone, map[string]any{"First": oldest})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, uint64(oldest))
	for i, record := range records[min(from, len(records)):] {
		if i > 0 && len(out)+4+len(record) > maxKB<<10 {
			break
		}
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	_, _ = w.Write(out) // the client may have gone
}

func (s *Store) listNewest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.get(name)
	keys := make([]string, 0, len(p.newest))
	for key := range p.newest {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, key := range keys {
		offset := p.newest[key]
		value := p.records[offset][1+len(key):]
		if len(value) == 0 || key <= after {
			continue
		}
		text := base64.StdEncoding.EncodeToString(value)
		if more = len(items) == 500 || len(items) > 0 && size+len(text) > 1<<20; more {
			break
		}
		size += len(text)
		items = append(items, map[string]any{"Key": key, "Value": text, "Offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(p.records)})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have gone
}

// setFault makes a share of the calls meet a fault; "" ends it.
func (s *Store) setFault(how string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultNow, s.faultShare = how, share
}

func (s *Store) drawFault() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultNow == "" || rand.Float64() > s.faultShare {
		return ""
	}
	return s.faultNow
}

// refused returns how many appends were refused because of a record above recordBytes.
func (s *Store) refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tooLarge
}
