package cell

import (
	"context"
	"net"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/intake"
)

// Limits of the messages that other daemons send. Anyone can connect to their port.
const (
	messageTime        = 10 * time.Second // from the first byte of a message to its last
	usualMessageBytes  = 4 << 10          // need no reservation
	maxLengthBytes     = 8                // of the length that precedes a message
	shortMessageLength = 0x7F             // up to this, the length is one byte
)

var errMessageTooLong = fault.New(fault.Invalid, "send less at a time", "a message between daemons is longer than %d bytes", intake.LargestMessage)

// messageConn follows the messages on a connection from another daemon. The library allocates memory by
// the length that precedes a message in encoding/gob; the bytes are reserved first.
type messageConn struct {
	*doorConn
	missing     int64 // bytes of the present message
	lengthBytes int   // missing bytes of the length of the next message
	length      uint64
}

// newMessageConn returns a connection that keeps the door's limits, if it has passed one.
func newMessageConn(conn net.Conn) net.Conn {
	if c, ok := conn.(*doorConn); ok {
		return &messageConn{doorConn: c}
	}
	return conn
}

func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.doorConn.Read(p)
	for rest := p[:n]; len(rest) > 0; {
		if c.missing > 0 {
			part := min(c.missing, int64(len(rest)))
			c.missing, rest = c.missing-part, rest[part:]
			if c.missing == 0 {
				c.enter(intake.Idle)
			}
			continue
		}
		known := c.takeLengthByte(rest[0])
		rest = rest[1:]
		if !known {
			continue
		}
		if err := c.beginMessage(); err != nil {
			return 0, err
		}
	}
	if c.missing > 0 || c.lengthBytes > 0 {
		c.limitTime()
	}
	return n, err
}

// takeLengthByte takes the next byte of a length, and reports whether the length is known.
func (c *messageConn) takeLengthByte(b byte) bool {
	switch {
	case c.lengthBytes > 0:
		c.length, c.lengthBytes = c.length<<8|uint64(b), c.lengthBytes-1
	case b <= shortMessageLength:
		c.length = uint64(b)
	default:
		c.length, c.lengthBytes = 0, min(maxLengthBytes, -int(int8(b)))
	}
	return c.lengthBytes == 0
}

// beginMessage reserves memory for a message.
func (c *messageConn) beginMessage() error {
	if c.length > intake.LargestMessage {
		return errMessageTooLong
	}
	c.missing = int64(c.length)
	if c.length > usualMessageBytes {
		c.enter(intake.Receiving)
		if !c.reserve(context.Background(), int64(c.length)) {
			return errNoRoom
		}
	}
	return nil
}

// limitTime limits the time for the rest of a message.
func (c *messageConn) limitTime() {
	c.enter(intake.Receiving)
	c.mu.Lock()
	limited := c.requestEnd > 0
	c.mu.Unlock()
	if !limited {
		c.readBy(messageTime)
	}
}
