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

// Limits of consulting another daemon about the state of the log.
const (
	consultMethod       = "Cell.Consult"
	maxConsultTries     = 3
	consultTimeout      = 500 * time.Millisecond // per daemon: a round trip between regions and a read of the log's end there
	consultReturnMargin = 150 * time.Millisecond // of consultTimeout, for the round trip
)

// ConsultArgs asks a daemon what it knows about a queue and a job. With an empty job it asks about
// the queue alone.
type ConsultArgs struct {
	Queue  string
	Job    string
	Within time.Duration
}

// ConsultReply answers ConsultArgs. Known is false if the consulted daemon has not read enough of the
// log itself; it does not consult a third daemon.
type ConsultReply struct {
	Known   bool
	Pending int
	Found   bool
	Phase   string
	Offset  int64         // up to which that daemon has read the log
	Age     time.Duration // since that daemon last read the log to its end
	// Workspace is the workspace of the job. Attributed is set by every daemon that knows workspaces: one of
	// an earlier version does not say to which workspace a job belongs.
	Workspace  string
	Attributed bool
	JobsLost   bool // as in view
}

func (r *ConsultReply) view() view {
	return view{r.Pending, r.Found, flow.Phase(r.Phase), r.Workspace, r.JobsLost, readState{r.Offset, max(bootclock.Now()-r.Age, 1)}}
}

// consultClient consults other daemons when this one has not recently read the log to its end.
type consultClient struct {
	peers           *peerClients // not shared: a timeout may close the connection, which must not affect appends
	memberAddresses *atomic.Pointer[[]string]
	placerAddress   *atomic.Pointer[string]
	lastAnswering   atomic.Pointer[string] // address of the last daemon that had an answer
}

// consult returns what another daemon knows. It consults at most maxTries daemons, one after another.
// With needWorkspace, an answer counts only if it says to which workspace the job belongs. An error of kind fault.Unavailable means that none of them has read enough of the log itself.
func (c *consultClient) consult(ctx context.Context, queue, job string, needWorkspace bool, maxTries int) (view, error) {
	addresses := *c.memberAddresses.Load()
	var tried []string
	for len(tried) < maxTries && ctx.Err() == nil {
		address := c.nextDaemon(addresses, tried)
		if address == "" {
			break
		}
		tried = append(tried, address)
		reply := &ConsultReply{}
		callCtx, cancel := context.WithTimeout(ctx, consultTimeout)
		err := c.peers.call(callCtx, address, consultMethod, &ConsultArgs{queue, job, remoteTimeout(callCtx, consultTimeout) - consultReturnMargin}, reply)
		cancel()
		if usable := reply.Known && (reply.Attributed || !reply.Found || !needWorkspace); err == nil && usable {
			c.lastAnswering.Store(&address)
			return reply.view(), nil
		}
		if last := c.lastAnswering.Load(); last != nil && *last == address {
			c.lastAnswering.CompareAndSwap(last, nil)
		}
	}
	return view{}, fault.New(fault.Unavailable, "retry in a second", "none of the %d daemons consulted has read the log to its end", len(tried))
}

// nextDaemon chooses the next daemon to consult: the last one that had an answer, then the placer,
// then the others, preferring those with more capacity and nearer to the store.
func (c *consultClient) nextDaemon(addresses, tried []string) string {
	preferred := []string{*c.placerAddress.Load()}
	if last := c.lastAnswering.Load(); last != nil {
		preferred = slices.Insert(preferred, 0, *last)
	}
	for _, address := range preferred {
		if address != "" && !slices.Contains(tried, address) {
			return address
		}
	}
	untried := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return slices.Contains(tried, address) })
	if len(untried) == 0 {
		return ""
	}
	return chooseRelay(untried, 0)
}

// Consult answers another daemon from what this one has read of the log.
func (s *peerService) Consult(args *ConsultArgs, reply *ConsultReply) (err error) {
	defer recoverAsError(&err)
	ctx, cancel := handlerContext(args.Within)
	defer cancel()
	v, known := s.consultView(ctx, args.Queue, args.Job)
	age, _ := v.readState.age(bootclock.Now())
	*reply = ConsultReply{Known: known, Pending: v.Pending, Found: v.Found, Phase: string(v.Phase), Offset: v.readState.offset, Age: age, Workspace: v.Workspace, Attributed: true, JobsLost: v.JobsLost}
	return nil
}

// view returns what this daemon knows about a queue and a job.
func (e *engine) view(queue, job string) view {
	if e.gap != nil {
		return view{readState: e.readState()}
	}
	v := view{Pending: e.state.Pending[queue], JobsLost: e.state.LossAt != 0, readState: e.readState()}
	if j := e.state.Jobs[job]; j != nil {
		v.Found, v.Phase, v.Workspace = true, j.Phase, j.Workspace
	}
	return v
}

// consultView returns this daemon's view for another daemon, after reading the log to its end if
// needed. It returns false if this daemon has not read enough of the log.
func (e *engine) consultView(ctx context.Context, queue, job string) (view, bool) {
	type outcome struct {
		view
		known bool
	}
	result, ok := query(ctx, e, func(e *engine, reply chan<- outcome) {
		v, now := e.view(queue, job), bootclock.Now()
		src := sourceOfCount(e.readState(), now)
		if job != "" {
			src = sourceOfState(e.readState(), v, now)
		}
		if src != fromLog {
			reply <- outcome{v, src == fromLocalState}
			return
		}
		e.refresh(ctx, func(e *engine, ok bool) { reply <- outcome{e.view(queue, job), ok} })
	})
	return result.view, ok && result.known
}
