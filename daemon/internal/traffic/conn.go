// Package traffic counts the bytes of connections.
package traffic

import (
	"context"
	"net"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Counted returns a dialler whose connections tell count of the bytes that they
// send and receive. Calls of count must not block. A nil count counts nothing.
func Counted(dial Dial, count func(bytes int)) Dial {
	if count == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, count: count}, nil
	}
}

type conn struct {
	net.Conn
	count func(bytes int)
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}
