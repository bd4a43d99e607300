package peer

import (
	"encoding/json"
	"net"
	"net/rpc"
	"sync"

	"github.com/joomcode/errorx"
	"golang.org/x/net/netutil"

	"briarproxy/core/fault"
)

const maxPeerConnections = 1024 // well above the number of daemons in a cell

// kinds are the error kinds that keep their meaning across a call.
var kinds = map[string]*errorx.Type{
	"invalid":     fault.Invalid,
	"conflict":    fault.Conflict,
	"unavailable": fault.Unavailable,
	"unknown":     fault.Unknown,
	"refused":     fault.Refused,
	"not_owner":   fault.NotOwner,
}

// remoteError is the text of an error on the wire.
type remoteError struct {
	Kind   string `json:"kind"`
	Text   string `json:"text"`
	Remedy string `json:"remedy"`
}

func encodeError(err error) error {
	if err == nil {
		return nil
	}
	wireErr := remoteError{Kind: "unknown", Text: err.Error(), Remedy: fault.Remedy(err)}
	for name, kind := range kinds {
		if fault.Is(err, kind) {
			wireErr.Kind = name
		}
	}
	text, jsonErr := json.Marshal(wireErr)
	if jsonErr != nil {
		return err
	}
	return rpc.ServerError(text)
}

func decodeError(err rpc.ServerError) error {
	var remote remoteError
	if json.Unmarshal([]byte(err), &remote) != nil || kinds[remote.Kind] == nil {
		return fault.New(fault.Unknown, "look at the peer's log", "the peer failed: %s", string(err))
	}
	return fault.New(kinds[remote.Kind], remote.Remedy, "%s", remote.Text)
}

// Server serves a handler to peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer returns a server for the handler on the listener. Call Serve to run it.
func NewServer(listener net.Listener, handler Handler) (*Server, error) {
	server := &Server{rpc: rpc.NewServer(), listener: netutil.LimitListener(listener, maxPeerConnections), conns: map[net.Conn]struct{}{}}
	if err := server.rpc.RegisterName("Peer", &service{handler}); err != nil {
		return nil, err
	}
	return server, nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		go func() {
			s.rpc.ServeConn(conn)
			s.remove(conn)
		}()
	}
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.conns[conn] = struct{}{}
	}
	return !s.closed
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// Close stops accepting and closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
}
