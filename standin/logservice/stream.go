package logservice

import (
	"time"

	"briarproxy/core/wire"
)

// stream keeps the records of one stream. Offsets start at 1 and rise by 1.
type stream struct {
	first   int64 // lowest kept offset
	records []record
	bytes   int64
	grown   chan struct{} // closed and replaced by each append
}

type record struct {
	data []byte
	at   time.Time
}

func newStream() *stream {
	return &stream{first: 1, grown: make(chan struct{})}
}

func (s *stream) next() int64 { return s.first + int64(len(s.records)) }

func (s *stream) append(data []byte, now time.Time) int64 {
	offset := s.next()
	s.records = append(s.records, record{data: data, at: now})
	s.bytes += int64(len(data))
	close(s.grown)
	s.grown = make(chan struct{})
	return offset
}

// expire drops records that are older than age or beyond the newest count. Zero
// values mean no limit.
func (s *stream) expire(now time.Time, age time.Duration, count int) {
	drop := 0
	if count > 0 {
		drop = max(0, len(s.records)-count)
	}
	for age > 0 && drop < len(s.records) && now.Sub(s.records[drop].at) > age {
		drop++
	}
	for _, r := range s.records[:drop] {
		s.bytes -= int64(len(r.data))
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
	s.first += int64(drop)
}

// read returns records from an offset on, at most limit and at most maxBytes
// together, but at least one if there is one.
func (s *stream) read(from, limit, maxBytes int64) wire.ReadReply {
	reply := wire.ReadReply{First: s.first, Next: s.next(), Records: []wire.LogRecord{}}
	var size int64
	for offset := max(from, s.first); offset < reply.Next; offset++ {
		data := s.records[offset-s.first].data
		size += int64(len(data))
		if int64(len(reply.Records)) >= limit || (size > maxBytes && len(reply.Records) > 0) {
			break
		}
		reply.Records = append(reply.Records, wire.LogRecord{Offset: offset, Data: data})
	}
	return reply
}
