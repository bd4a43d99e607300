package cell

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"briarproxy/core/fault"
	"briarproxy/core/flow"
	"briarproxy/daemon/bootclock"
)

// Limits of asking another daemon what it knows of the log.
const (
	consultMethod       = "Cell.Consult"
	maxConsultTries     = 3
	consultTimeout      = 500 * time.Millisecond // with one daemon: two ways between regions and a read of the log's end there
	consultReturnMargin = 150 * time.Millisecond // of it, for the ways there and back
)

// ConsultArgs asks a daemon what it knows of a queue and a job. An empty job asks for the queue
// alone.
type ConsultArgs struct {
	Queue  string
	Job    string
	Within time.Duration
}

// ConsultReply answers ConsultArgs. Known is false if that daemon does not know the log well
// enough itself; it asks no third one.
type ConsultReply struct {
	Known   bool
	Pending int
	Found   bool
	Phase   string
	Offset  int64         // up to which that daemon knows the log
	Age     time.Duration // of that knowledge
}

func (r *ConsultReply) view() view {
	return view{r.Pending, r.Found, flow.Phase(r.Phase), readState{r.Offset, max(bootclock.Now()-r.Age, 1)}}
}

// consultClient asks daemons that know the log on behalf of one that does not.
type consultClient struct {
	peers         *peerClients // of its own: a late answer ends the connection, and appends must not wait on it
	members       *atomic.Pointer[[]string]
	placer        *atomic.Pointer[string]
	lastAnswering atomic.Pointer[string] // the daemon that knew an answer last
}

// ask returns what another daemon knows; it asks at most the given number. An error of kind
// fault.Unavailable means that none of those asked knows the log to its end.
func (c *consultClient) ask(ctx context.Context, queue, job string, most int) (view, error) {
	members := *c.members.Load()
	var tried []string
	for len(tried) < most && ctx.Err() == nil {
		address := c.nextDaemon(members, tried)
		if address == "" {
			break
		}
		tried = append(tried, address)
		reply := &ConsultReply{}
		bounded, cancel := context.WithTimeout(ctx, consultTimeout)
		err := c.peers.call(bounded, address, consultMethod, &ConsultArgs{queue, job, remoteTimeout(bounded, consultTimeout) - consultReturnMargin}, reply)
		cancel()
		if err == nil && reply.Known {
			c.lastAnswering.Store(&address)
			return reply.view(), nil
		}
		if last := c.lastAnswering.Load(); last != nil && *last == address {
			c.lastAnswering.CompareAndSwap(last, nil)
		}
	}
	return view{}, fault.New(fault.Unavailable, "ask again in a second", "none of %d daemons asked knows the log to its end", len(tried))
}

// nextDaemon chooses the daemon for a try: the last one that knew, the placer, then others that
// were not tried, the strong and near ones first.
func (c *consultClient) nextDaemon(members, tried []string) string {
	wanted := []string{*c.placer.Load()}
	if last := c.lastAnswering.Load(); last != nil {
		wanted = slices.Insert(wanted, 0, *last)
	}
	for _, address := range wanted {
		if address != "" && !slices.Contains(tried, address) {
			return address
		}
	}
	rest := slices.DeleteFunc(slices.Clone(members), func(address string) bool { return slices.Contains(tried, address) })
	if len(rest) == 0 {
		return ""
	}
	return chooseRelay(rest, 0)
}

// Consult tells another daemon what this one knows of the log.
func (s *peerService) Consult(args *ConsultArgs, reply *ConsultReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	f, known := s.consultView(ctx, args.Queue, args.Job)
	age, _ := f.readState.age(bootclock.Now())
	*reply = ConsultReply{Known: known, Pending: f.Pending, Found: f.Found, Phase: string(f.Phase), Offset: f.readState.offset, Age: age}
	return nil
}

// view returns what a queue and a job are like to this daemon's knowledge.
func (e *engine) view(queue, job string) view {
	f := view{Pending: e.state.Pending[queue], readState: e.readState()}
	if j := e.state.Jobs[job]; j != nil {
		f.Found, f.Phase = true, j.Phase
	}
	return f
}

// consultView answers another daemon from here, after reading the log to its end if need be.
func (e *engine) consultView(ctx context.Context, queue, job string) (view, bool) {
	type outcome struct {
		view
		known bool
	}
	got, ok := query(ctx, e, func(e *engine, reply chan<- outcome) {
		f, now := e.view(queue, job), bootclock.Now()
		from := sourceOfCount(e.readState(), now)
		if job != "" {
			from = sourceOfState(e.readState(), f, now)
		}
		if from != fromLog {
			reply <- outcome{f, from == fromHere}
			return
		}
		e.refresh(ctx, func(e *engine, ok bool) { reply <- outcome{e.view(queue, job), ok} })
	})
	return got.view, ok && got.known
}
