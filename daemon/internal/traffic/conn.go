// Package traffic counts the bytes that connections transfer.
package traffic

import (
	"context"
	"net"
)

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountBytes returns a dial function whose connections call count with the number of bytes
// of each read and write. count must not block. If count is nil, dial is returned unchanged.
func CountBytes(dial DialFunc, count func(bytes int)) DialFunc {
	if count == nil {
		return dial
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: c, count: count}, nil
	}
}

type countingConn struct {
	net.Conn
	count func(bytes int)
}

// Read implements net.Conn.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}
