package flow

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"briarproxy/core/fault"
)

// A stored record is plain JSON, or a version byte followed by compressed JSON. Every daemon
// reads the whole log, so each byte crosses the link of the smallest VM once per daemon.
const (
	compressedVersion    = 0x01    // version byte: DEFLATE with compressionDictionary
	minCompressBytes     = 160     // shorter records do not shrink
	maxDecompressedBytes = 8 << 20 // far above the size of the largest batch
)

// compressionDictionary holds the strings that small records have in common. A change of the
// dictionary requires a new version byte.
const compressionDictionary = `{"b":{"e":,"b":[{"j":"","s":1,"i":1,"r":1,"w":"","b":17},"x":[{"j":"","i":2,"r":1,"h":"failed","stopped","lapsed","broken","done"},"c":""}],"s":["` +
	`{"s":{"id":"","q":"","o":"","v":1,"s":"","t":[{"n":1,"z":{"milli_cores":1000,"memory_mib":10000,"accelerators":1},"e":1000,"a":[0],"g":true,"c":true,"x":true,"p":1}],"m":3,"at":17`

// A compressor takes more than 1 MB of memory and is used for less than a millisecond at a
// time, so the process shares one.
var (
	compressorMutex sync.Mutex
	compressor      = sync.OnceValues(func() (*flate.Writer, error) {
		return flate.NewWriterDict(nil, flate.BestSpeed, []byte(compressionDictionary))
	})
	decompressors = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), []byte(compressionDictionary)) }}
)

// compress returns the compressed record, or the data unchanged if compression does not make
// it smaller.
func compress(data []byte) ([]byte, error) {
	if len(data) < minCompressBytes {
		return data, nil
	}
	var out bytes.Buffer
	out.Grow(len(data) / 2)
	out.WriteByte(compressedVersion)
	compressorMutex.Lock()
	defer compressorMutex.Unlock()
	w, err := compressor()
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

// decompress returns the JSON of a stored record.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedVersion {
		return data, nil
	}
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data[1:]), []byte(compressionDictionary)); err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxDecompressedBytes {
		return nil, fault.New(fault.Invalid, "find and stop the process that writes invalid records to the log", "a log record decompresses to more than %d bytes", maxDecompressedBytes)
	}
	return plain, nil
}
