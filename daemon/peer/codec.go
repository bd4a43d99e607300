package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
)

// codec is the gob encoding of net/rpc with the bytes counted by method. net/rpc
// calls the write methods under a lock and the read methods from one goroutine.
type codec struct {
	conn    net.Conn
	out     *bufio.Writer
	sent    int // bytes since the last count
	encoder *gob.Encoder
	decoder *gob.Decoder
	in      *countedReader
	method  string // of the answer that is read
	count   func(method string, bytes int)
}

func newCodec(conn net.Conn, count func(method string, bytes int)) *codec {
	c := &codec{conn: conn, count: count, in: &countedReader{reader: bufio.NewReader(conn)}}
	c.out = bufio.NewWriter(writerFunc(func(b []byte) (int, error) {
		n, err := conn.Write(b)
		c.sent += n
		return n, err
	}))
	c.encoder = gob.NewEncoder(c.out)
	c.decoder = gob.NewDecoder(c.in)
	return c
}

type writerFunc func(b []byte) (int, error)

// Write implements io.Writer.
func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// countedReader counts what is consumed, not what is read ahead.
type countedReader struct {
	reader *bufio.Reader
	bytes  int
}

var _ io.ByteReader = (*countedReader)(nil) // otherwise gob would read ahead itself

// Read implements io.Reader.
func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.reader.Read(b)
	r.bytes += n
	return n, err
}

// ReadByte implements io.ByteReader.
func (r *countedReader) ReadByte() (byte, error) {
	b, err := r.reader.ReadByte()
	if err == nil {
		r.bytes++
	}
	return b, err
}

// WriteRequest implements rpc.ClientCodec.
func (c *codec) WriteRequest(request *rpc.Request, body any) error {
	err := c.encoder.Encode(request)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	c.count(request.ServiceMethod, c.sent)
	c.sent = 0
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *codec) ReadResponseHeader(response *rpc.Response) error {
	err := c.decoder.Decode(response)
	c.method = response.ServiceMethod
	return err
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *codec) ReadResponseBody(body any) error {
	err := c.decoder.Decode(body)
	c.count(c.method, c.in.bytes)
	c.in.bytes = 0
	return err
}

// Close implements rpc.ClientCodec.
func (c *codec) Close() error { return c.conn.Close() }
