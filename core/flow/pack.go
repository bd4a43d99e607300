package flow

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"briarproxy/core/fault"
)

// Stored records are JSON, or a version byte and compressed JSON. Every daemon reads the
// whole log, so its bytes pass the link of the smallest VM once for each daemon.
const (
	packed      = 0x01    // version byte: DEFLATE with the dictionary below
	packFrom    = 160     // bytes; shorter records gain nothing
	unpackLimit = 8 << 20 // bytes; far above what a batch can hold
)

// packDictionary holds what small records repeat. It belongs to the version byte: another
// dictionary needs another byte.
const packDictionary = `{"b":{"e":,"b":[{"j":"","s":1,"i":1,"r":1,"w":"","b":17},"x":[{"j":"","i":2,"r":1,"h":"failed","stopped","lapsed","broken","done"},"c":""}],"s":["` +
	`{"s":{"id":"","q":"","o":"","v":1,"s":"","t":[{"n":1,"z":{"milli_cores":1000,"memory_mib":10000,"accelerators":1},"e":1000,"a":[0],"g":true,"c":true,"x":true,"p":1}],"m":3,"at":17`

// A compressor takes over a megabyte and is used for a fraction of a millisecond, so all
// records of a process share one.
var (
	packing sync.Mutex
	packer  = sync.OnceValues(func() (*flate.Writer, error) {
		return flate.NewWriterDict(nil, flate.BestSpeed, []byte(packDictionary))
	})
	unpackers = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), []byte(packDictionary)) }}
)

// pack compresses a record unless that is of no use.
func pack(data []byte) ([]byte, error) {
	if len(data) < packFrom {
		return data, nil
	}
	var out bytes.Buffer
	out.Grow(len(data) / 2)
	out.WriteByte(packed)
	packing.Lock()
	defer packing.Unlock()
	w, err := packer()
	if err != nil {
		return nil, err
	}
	w.Reset(&out)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if out.Len() >= len(data) {
		return data, nil
	}
	return out.Bytes(), nil
}

// unpack returns the JSON of a stored record.
func unpack(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != packed {
		return data, nil
	}
	r := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data[1:]), []byte(packDictionary)); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, unpackLimit+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > unpackLimit {
		return nil, fault.New(fault.Invalid, "remove the writer of foreign records from the log", "a record has more than %d bytes", unpackLimit)
	}
	return plain, nil
}
