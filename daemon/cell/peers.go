package cell

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/daemon/bootclock"
)

// Times of connections between daemons.
const (
	peerDialTimeout    = 700 * time.Millisecond
	peerUnackedTimeout = 1500 * time.Millisecond // if sent bytes get no TCP acknowledgement for this long, the peer's VM or the network path counts as failed
)

// RPC methods between daemons for the placer's work.
const (
	adviseMethod  = "Cell.Advise"
	yieldMethod   = "Cell.Yield"
	succeedMethod = "Cell.Succeed"
	startMethod   = "Cell.Start"
)

// AdviseArgs asks a daemon to call the advice service on behalf of the placer.
type AdviseArgs struct {
	Step    cluster.StepID
	Workers []string
	Within  time.Duration
}

// AdviseReply answers AdviseArgs.
type AdviseReply struct {
	Rows  []AdviceRow
	Valid time.Duration
}

// AdviceRow is a ticket for one worker of the request. It names the worker by its index in
// AdviseArgs.Workers, to keep the reply short.
type AdviceRow struct {
	At     int
	Ticket string
}

// StartArgs asks a daemon to send the placer's order to start a run. The order's Spec is left out, as
// the daemon has it from the log.
type StartArgs struct {
	Life    cluster.Life
	Address string
	Order   cluster.Start
	Within  time.Duration
}

// StartReply answers StartArgs. Unsent means that the daemon has not read the job from the log yet
// and has sent nothing.
type StartReply struct {
	Result  cluster.StartResult
	ClockMS int64
	Unsent  bool
}

// peerService serves the RPCs of other daemons.
type peerService struct {
	adviser     Adviser
	store       storeAccess
	yield       func(epoch int64)
	consultView func(ctx context.Context, queue, job string) (view, bool)
	submit      func(records [][]byte, timeout time.Duration) []error // returns one error per record
	succeed     func(epoch int64) bool
	starter     Starter
	specOf      func(ctx context.Context, job string) (string, bool) // of a job that this daemon has read from the log
}

// Starter sends workers orders to start runs.
type Starter interface {
	Start(ctx context.Context, life cluster.Life, address string, order *cluster.Start) (cluster.StartResult, int64)
}

// Start sends an order to start on behalf of the placer. The worker checks the fencing token and
// refuses the order of a superseded placer.
func (s *peerService) Start(args *StartArgs, reply *StartReply) (err error) {
	defer recoverAsError(&err)
	callCtx, cancel := handlerContext(args.Within)
	defer cancel()
	spec, known := s.specOf(callCtx, args.Order.Job)
	if !known {
		reply.Unsent = true
		return nil
	}
	order := args.Order
	order.Spec = spec
	reply.Result, reply.ClockMS = s.starter.Start(callCtx, args.Life, args.Address, &order)
	return nil
}

// YieldArgs tells a daemon that placers up to an epoch have been superseded.
type YieldArgs struct{ Epoch int64 }

// Yield stops this daemon's placer if its epoch is not newer than the given one. Once it returns,
// the daemon sends no more orders under that epoch.
func (s *peerService) Yield(args *YieldArgs, _ *bool) (err error) {
	defer recoverAsError(&err)
	s.yield(args.Epoch)
	return nil
}

// SucceedArgs asks a daemon to take over from the placer of an epoch, which has stopped placing.
type SucceedArgs struct{ Epoch int64 }

// Succeed claims the placer's role for this daemon and replies whether the claim is stored.
func (s *peerService) Succeed(args *SucceedArgs, claimed *bool) (err error) {
	defer recoverAsError(&err)
	*claimed = s.succeed(args.Epoch)
	return nil
}

// Advise calls the advice service on behalf of the placer.
func (s *peerService) Advise(args *AdviseArgs, reply *AdviseReply) (err error) {
	defer recoverAsError(&err)
	callCtx, cancel := handlerContext(args.Within)
	defer cancel()
	grants, valid, err := s.adviser.Advise(callCtx, args.Step, args.Workers)
	reply.Valid = valid
	for _, grant := range grants {
		if index := slices.Index(args.Workers, grant.Worker); index >= 0 {
			reply.Rows = append(reply.Rows, AdviceRow{index, grant.Ticket})
		}
	}
	return err
}

// recoverAsError turns a panic of an RPC handler into an error. The RPC library does not recover
// panics, so the process would end.
func recoverAsError(err *error) {
	if recovered := recover(); recovered != nil {
		*err = fault.New(fault.Internal, "report this as a bug", "the handler of another daemon's call panicked unexpectedly: %v", recovered)
	}
}

// servePeers serves the RPCs of other daemons until the listener is closed.
func servePeers(listener net.Listener, service *peerService) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Cell", service); err != nil {
		return fault.Wrap(err, fault.Internal, "report this as a bug", "can't register the RPC service for other daemons")
	}
	go acceptPeers(listener, server)
	return nil
}

// acceptPeers serves connections until the listener is closed. Other errors, such as a lack of
// descriptors, do not end it.
func acceptPeers(listener net.Listener, server *rpc.Server) {
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			time.Sleep(acceptRetryDelay)
		default:
			go server.ServeConn(newMessageConn(conn))
		}
	}
}

// peerClients makes RPCs to other daemons over one shared connection to each.
type peerClients struct {
	mu          sync.Mutex
	connections map[string]*peerConn // by address
}

// peerConn is a connection to another daemon with the time of its last answer.
type peerConn struct {
	*rpc.Client
	answeredAt atomic.Int64 // boot clock
	conn       *watchedConn
}

// watchedConn is a connection that knows whether the other daemon has ended it, for example in favour of
// others at its limit. A call on it would fail although nothing was sent.
type watchedConn struct {
	net.Conn
	ended atomic.Bool
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended.Store(true)
	}
	return n, err
}

func newPeerClients() *peerClients { return &peerClients{connections: map[string]*peerConn{}} }

func (p *peerClients) advise(ctx context.Context, address string, step cluster.StepID, workers []string) ([]cluster.Grant, time.Duration, error) {
	timeout := adviceTimeout
	if deadline, hasDeadline := ctx.Deadline(); hasDeadline {
		timeout = time.Until(deadline)
	}
	reply := &AdviseReply{}
	err := p.call(ctx, address, adviseMethod, &AdviseArgs{step, workers, timeout}, reply)
	grants := make([]cluster.Grant, 0, len(reply.Rows))
	for _, row := range reply.Rows {
		if row.At >= 0 && row.At < len(workers) {
			grants = append(grants, cluster.Grant{Worker: workers[row.At], Ticket: row.Ticket})
		}
	}
	return grants, reply.Valid, err
}

// yield makes the daemon at an address stop sending orders under an epoch.
func (p *peerClients) yield(ctx context.Context, address string, epoch int64) error {
	var reply bool
	return p.call(ctx, address, yieldMethod, &YieldArgs{epoch}, &reply)
}

// call makes one RPC. It closes a connection that breaks, or on which no answer arrived between the
// start of the call and its timeout; one slow answer does not end the other calls on it.
func (p *peerClients) call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.connect(ctx, address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "ask another daemon", "can't connect to the daemon at %s", address)
	}
	sentAt := bootclock.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, isServerError := call.Error.(rpc.ServerError); call.Error == nil || isServerError {
			client.answeredAt.Store(int64(bootclock.Now()))
		} else {
			p.drop(address, client)
		}
		if call.Error == nil {
			return nil
		}
		return fault.Wrap(call.Error, fault.Unavailable, "retry", "%s at the daemon at %s", method, address)
	case <-ctx.Done():
		if time.Duration(client.answeredAt.Load()) < sentAt {
			p.drop(address, client)
		}
		return fault.Wrap(ctx.Err(), fault.Unavailable, "ask another daemon", "the daemon at %s did not answer", address)
	}
}

func (p *peerClients) connect(ctx context.Context, address string) (*peerConn, error) {
	p.mu.Lock()
	existing := p.connections[address]
	p.mu.Unlock()
	switch {
	case existing == nil:
	case existing.conn.ended.Load():
		p.drop(address, existing)
	default:
		return existing, nil
	}
	conn, err := NewDialer(peerDialTimeout, peerUnackedTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	watched := &watchedConn{Conn: conn}
	client := &peerConn{Client: rpc.NewClient(watched), conn: watched}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.connections[address]; existing != nil {
		_ = client.Close() // another call has connected meanwhile
		return existing, nil
	}
	p.connections[address] = client
	return client, nil
}

func (p *peerClients) drop(address string, client *peerConn) {
	p.mu.Lock()
	if p.connections[address] == client {
		delete(p.connections, address)
	}
	p.mu.Unlock()
	_ = client.Close() // an error means that the other side has closed it already
}
