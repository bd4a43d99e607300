package cell

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"briarproxy/core/intake"
)

// firstChunk is how much of a body of unknown length is reserved at first, in bytes.
const firstChunk = 4 << 10

// doorConnKey is the key of a request's connection in its context.
type doorConnKey struct{}

// withDoorConn is the ConnContext of an HTTP server whose connections have passed a door.
func withDoorConn(ctx context.Context, conn net.Conn) context.Context {
	if caller, ok := conn.(*callerConn); ok {
		conn = caller.Conn
	}
	if c, ok := conn.(*doorConn); ok {
		return context.WithValue(ctx, doorConnKey{}, c)
	}
	return ctx
}

// doorConnOf returns the connection of a request, or nil if it has passed no door.
func doorConnOf(ctx context.Context) *doorConn {
	c, _ := ctx.Value(doorConnKey{}).(*doorConn)
	return c
}

// beginRequest records that the header of a request has been read.
func beginRequest(r *http.Request) {
	c := doorConnOf(r.Context())
	if r.ContentLength == 0 {
		c.enter(intake.Serving)
		return
	}
	c.enter(intake.Receiving)
	c.readBy(maxRequestTime) // the handler may set an earlier time
}

// readBody reads a body into memory that is reserved for it before it is read. It returns the status to
// answer if it can't: a request that is answered with 503 has not been executed.
func (a *callerAPI) readBody(ctx context.Context, w http.ResponseWriter, r *http.Request, lookup *lookupResult) ([]byte, int) {
	limit, conn := lookup.maxBodyBytes, doorConnOf(ctx)
	if r.ContentLength > int64(limit) {
		return nil, a.closeAfter(w, conn, http.StatusRequestEntityTooLarge)
	}
	end := lookup.bodyTime
	if deadline, set := ctx.Deadline(); set {
		end = min(end, time.Until(deadline))
	}
	conn.readBy(end)
	size := int(r.ContentLength)
	if size < 0 {
		size = min(firstChunk, limit+1)
	}
	if !conn.reserve(ctx, int64(size)*intake.BodyPrice) {
		return nil, a.closeAfter(w, conn, http.StatusServiceUnavailable)
	}
	body := make([]byte, 0, size)
	for whole := size == 0; !whole; {
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, a.closeAfter(w, conn, http.StatusRequestEntityTooLarge)
		case errors.Is(err, io.EOF), err == nil && len(body) == int(r.ContentLength):
			whole = true
		case err != nil:
			return nil, a.refuseUnfinished(w, conn, err)
		case len(body) == cap(body):
			larger := min(2*cap(body), limit+1)
			if !conn.reserve(ctx, int64(larger-cap(body))*intake.BodyPrice) {
				return nil, a.closeAfter(w, conn, http.StatusServiceUnavailable)
			}
			body = append(make([]byte, 0, larger), body...)
		}
	}
	conn.enter(intake.Serving)
	return body, 0
}

// refuseUnfinished returns the status for a body that could not be read to its end.
func (a *callerAPI) refuseUnfinished(w http.ResponseWriter, conn *doorConn, err error) int {
	reason := refusedTooSlow
	switch {
	case conn.gaveWay():
		reason = refusedGaveWay
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return a.closeAfter(w, conn, http.StatusBadRequest)
	}
	if conn != nil {
		conn.door.mu.Lock()
		conn.door.countRefused(reason)
		conn.door.mu.Unlock()
	}
	return a.closeAfter(w, conn, http.StatusServiceUnavailable)
}

// closeAfter answers a request whose body is not read, and closes the connection.
func (a *callerAPI) closeAfter(w http.ResponseWriter, conn *doorConn, status int) int {
	conn.readBy(lingerTimeout)
	w.Header().Set("Connection", "close")
	if status == http.StatusServiceUnavailable {
		a.engine.metrics.rejections.WithLabelValues("crowded").Inc()
		return reject(w, status)
	}
	return answer(w, status, nil)
}
