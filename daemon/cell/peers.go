package cell

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"briarproxy/core/cluster"
	"briarproxy/core/fault"
	"briarproxy/daemon/bootclock"
)

// Times of connections between daemons.
const (
	peerDialTimeout    = 700 * time.Millisecond
	peerUnackedTimeout = 1500 * time.Millisecond // unacknowledged bytes: the other machine or the path is gone
)

// Methods of the peers' service.
const (
	adviseMethod  = "Cell.Advise"
	yieldMethod   = "Cell.Yield"
	succeedMethod = "Cell.Succeed"
	startMethod   = "Cell.Start"
)

// AdviseArgs asks a daemon to ask the advice service.
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

// AdviceRow is a ticket for the worker at a position of the request, whose name need not
// travel twice.
type AdviceRow struct {
	At     int
	Ticket string
}

// StartArgs has a daemon send the placer's order to start a run. Its Spec is left out: the
// daemon has read it from the log.
type StartArgs struct {
	Life    cluster.Life
	Address string
	Order   cluster.Start
	Within  time.Duration
}

// StartReply answers StartArgs. Unsent means that the daemon does not know the job yet
// and has sent nothing.
type StartReply struct {
	Result  cluster.StartResult
	ClockMS int64
	Unsent  bool
}

// peerService serves the other daemons' RPCs.
type peerService struct {
	adviser     Adviser
	store       storeAccess
	yield       func(epoch int64)
	consultView func(ctx context.Context, queue, job string) (view, bool)
	submit      func(records [][]byte, within time.Duration) []error // one outcome a record
	succeed     func(epoch int64) bool
	starter     Starter
	spec        func(ctx context.Context, job string) (string, bool) // of a job that the log has told of
}

// Starter orders workers to start runs.
type Starter interface {
	Start(ctx context.Context, life cluster.Life, address string, s *cluster.Start) (cluster.StartResult, int64)
}

// Start sends an order to start on behalf of the placer. The worker's fence decides
// whether that placer may still order.
func (s *peerService) Start(args *StartArgs, reply *StartReply) (err error) {
	defer recoverAsError(&err)
	bounded, cancel := handlerContext(args.Within)
	defer cancel()
	spec, known := s.spec(bounded, args.Order.Job)
	if !known {
		reply.Unsent = true
		return nil
	}
	order := args.Order
	order.Spec = spec
	reply.Result, reply.ClockMS = s.starter.Start(bounded, args.Life, args.Address, &order)
	return nil
}

// YieldArgs tells the placer of an epoch, or an earlier one, that it has a successor.
type YieldArgs struct{ Epoch int64 }

// Yield returns when this daemon sends no more orders under the epoch.
func (s *peerService) Yield(args *YieldArgs, _ *bool) (err error) {
	defer recoverAsError(&err)
	s.yield(args.Epoch)
	return nil
}

// SucceedArgs asks a daemon to take over from the placer of an epoch, which has stopped.
type SucceedArgs struct{ Epoch int64 }

// Succeed returns true when the daemon's claim is stored.
func (s *peerService) Succeed(args *SucceedArgs, done *bool) (err error) {
	defer recoverAsError(&err)
	*done = s.succeed(args.Epoch)
	return nil
}

// Advise asks the advice service on behalf of the placer.
func (s *peerService) Advise(args *AdviseArgs, reply *AdviseReply) (err error) {
	defer recoverAsError(&err)
	bounded, cancel := handlerContext(args.Within)
	defer cancel()
	grants, valid, err := s.adviser.Advise(bounded, args.Step, args.Workers)
	reply.Valid = valid
	for _, g := range grants {
		if at := slices.Index(args.Workers, g.Worker); at >= 0 {
			reply.Rows = append(reply.Rows, AdviceRow{at, g.Ticket})
		}
	}
	return err
}

// recoverAsError turns a panic of a handler into its error. The RPC library would let it end the
// process.
func recoverAsError(err *error) {
	if r := recover(); r != nil {
		*err = fault.New(fault.Internal, "report this as a bug", "a call of another daemon failed unexpectedly: %v", r)
	}
}

// servePeers serves RPCs until the listener is closed.
func servePeers(l net.Listener, service *peerService) error {
	server := rpc.NewServer()
	if err := server.RegisterName("Cell", service); err != nil {
		return fault.Wrap(err, fault.Internal, "report this as a bug", "the peers' service can't be registered")
	}
	go server.Accept(l)
	return nil
}

// peerClients holds one connection to each daemon.
type peerClients struct {
	mu          sync.Mutex
	connections map[string]*peerConn // by address
}

// peerConn is a connection with the time of its last answer.
type peerConn struct {
	*rpc.Client
	answeredAt atomic.Int64 // boot clock
}

func newPeerClients() *peerClients { return &peerClients{connections: map[string]*peerConn{}} }

func (p *peerClients) advise(ctx context.Context, address string, step cluster.StepID, workers []string) ([]cluster.Grant, time.Duration, error) {
	within := adviceTimeout
	if deadline, set := ctx.Deadline(); set {
		within = time.Until(deadline)
	}
	reply := &AdviseReply{}
	err := p.call(ctx, address, adviseMethod, &AdviseArgs{step, workers, within}, reply)
	grants := make([]cluster.Grant, 0, len(reply.Rows))
	for _, row := range reply.Rows {
		if row.At >= 0 && row.At < len(workers) {
			grants = append(grants, cluster.Grant{Worker: workers[row.At], Ticket: row.Ticket})
		}
	}
	return grants, reply.Valid, err
}

// yield makes sure that the daemon at an address orders nothing under an epoch any more.
// A process that does not listen has ended.
func (p *peerClients) yield(ctx context.Context, address string, epoch int64) error {
	var done bool
	err := p.call(ctx, address, yieldMethod, &YieldArgs{epoch}, &done)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil
	}
	return err
}

// call makes one RPC. A connection that breaks, or brings no answer at all while a call
// waits in vain, is dropped; one slow answer does not end the other calls on it.
func (p *peerClients) call(ctx context.Context, address, method string, args, reply any) error {
	client, err := p.connect(ctx, address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "ask another daemon", "can't connect to the daemon at %s", address)
	}
	sent := bootclock.Now()
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if _, said := call.Error.(rpc.ServerError); call.Error == nil || said {
			client.answeredAt.Store(int64(bootclock.Now()))
		} else {
			p.drop(address, client)
		}
		if call.Error == nil {
			return nil
		}
		return fault.Wrap(call.Error, fault.Unavailable, "ask again", "%s through the daemon at %s", method, address)
	case <-ctx.Done():
		if time.Duration(client.answeredAt.Load()) < sent {
			p.drop(address, client)
		}
		return fault.Wrap(ctx.Err(), fault.Unavailable, "ask another daemon", "the daemon at %s does not answer", address)
	}
}

func (p *peerClients) connect(ctx context.Context, address string) (*peerConn, error) {
	p.mu.Lock()
	c := p.connections[address]
	p.mu.Unlock()
	if c != nil {
		return c, nil
	}
	conn, err := NewDialer(peerDialTimeout, peerUnackedTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	fresh := &peerConn{Client: rpc.NewClient(conn)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.connections[address]; c != nil {
		_ = fresh.Close() // another call connected meanwhile
		return c, nil
	}
	p.connections[address] = fresh
	return fresh, nil
}

func (p *peerClients) drop(address string, c *peerConn) {
	p.mu.Lock()
	if p.connections[address] == c {
		delete(p.connections, address)
	}
	p.mu.Unlock()
	_ = c.Close() // it may have been closed by the other side
}
