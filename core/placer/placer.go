package placer

import (
	"slices"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/place"
	"briarproxy/core/resource"
)

// Fixed times and limits.
const (
	maxClockDrift         = 0.02                   // workers' clocks may be this much slow, by the platform's contract
	leaseMargin           = 150 * time.Millisecond // rounding of worker clocks and scheduling delay of this process
	maxPollWait           = 1400 * time.Millisecond
	maxSilenceForRenewal  = 2600 * time.Millisecond // a worker that has not answered for longer than a look takes gets no new lease
	maxOrderDelay         = 12 * time.Second        // an order without an answer may be carried out this much later, by the platform's contract
	avoidAfterNoAnswer    = time.Second             // nothing is placed on a worker that left an order unanswered
	pollInterval          = 150 * time.Millisecond  // between two looks at one worker: each has a price
	idlePollInterval      = 20 * time.Second        // idle workers: keeps the clock's error below a lease's slack
	missedPollDelay       = 400 * time.Millisecond
	stopRetryInterval     = 700 * time.Millisecond // an order to stop that had no effect is repeated after this time
	ticketSendMargin      = 150 * time.Millisecond // left of a ticket when the order is sent: one way to a far region and queueing
	ticketPlanMargin      = 350 * time.Millisecond // left of a ticket for a plan that is still to be recorded
	batchInterval         = 12 * time.Millisecond  // gathers plans and ends into one append
	scanInterval          = 10 * time.Millisecond  // between two scans of all workers and runs; each of a thousand events a second comes with a tick
	maxStartedDelay       = 150 * time.Millisecond // that a job has begun may be told this much later
	heartbeatInterval     = 250 * time.Millisecond // an idle placer shows that it is alive; several fit into a failover time
	unlistedGrace         = 5 * time.Second        // a worker whose entry vanished is used on while it answers: entries may be dropped and written again
	unlistedAnswerTimeout = 2500 * time.Millisecond
	failuresToAvoid       = 3
	avoidAfterFailures    = 6 * time.Second
	avoidAfterRefusal     = 500 * time.Millisecond
)

// Options are the bounds of a deployment.
type Options struct {
	Lease                time.Duration // of the runs on a worker, from each renewal
	MaxLease             time.Duration // longest lease that a worker grants
	MaxRenewalWithoutLog time.Duration // a placer that lost the log renews leases for at most this long
	EarlyStart           time.Duration // a task with a due time may begin this much earlier
	StopTimeout          time.Duration // a worker may take this long to stop a run
	LinkMbps             float64       // of the placer's machine; 0 is not known
	Disabled             Ablation
}

// Command is one thing to do. Exactly one field is set.
type Command struct {
	Start  *StartCommand
	Stop   *StopCommand
	Poll   *PollCommand
	Advise *AdviseCommand
	Pace   *PaceCommand
}

// StartCommand orders a worker to start a run.
type StartCommand struct {
	Life         cluster.Life
	Address      string
	Order        cluster.Start
	Relay        string        // the daemon that sends the order; "" is this one
	SendDeadline time.Duration // boot clock: sent later it would reach the worker after its ticket or lease
}

// StopCommand orders a worker to stop a run.
type StopCommand struct {
	Life    cluster.Life
	Address string
	Run     cluster.RunID
	Token   int64
}

// PollCommand renews a worker's lease and asks for its lists.
type PollCommand struct {
	Life    cluster.Life
	Address string
	Hold    cluster.LeaseRenewal
}

// AdviseCommand asks which workers may run a step, through the given daemon.
type AdviseCommand struct {
	Step    cluster.StepID
	Workers []string
	Daemon  string
}

// Decision is a decision or a change of belief for the log of the daemon.
type Decision struct {
	Kind              string
	Job               string
	Task              cluster.TaskID
	Run               int
	Worker            string
	Reason            string
	Age               time.Duration // of the input that decided
	Version           int64         // of the configuration, or the offset of the record, that decided
	WastedCoreSeconds float64       // core-seconds of work that an end has made useless
}

// Decisions that the metrics count by more than their name.
const (
	DecisionRunEnded = "run ended"
	DecisionJobBegan = "job began" // the first run of a job was taken; Reason is its queue
)

// Placer is the state of the placer of one log partition.
type Placer struct {
	options        Options
	state          *flow.State
	config         *cluster.Configuration
	cell           *place.Cell
	vms            map[string]*vm
	workerIDs      []string // ids of the workers of the registry, sorted
	runs           map[cluster.TaskID]*run
	jobs           map[string]*pendingJob
	steps          map[cluster.StepID]*pendingStep
	dueOccurrences []dueOccurrence
	advisers       *advisers
	grantRates     map[string]float64 // by queue: share of workers that advice grants
	pendingBatch   flow.Batch
	pendingRuns    []*run // runs of out.Begins
	flushedAt      time.Duration
	token          int64
	epoch          int64
	createdAt      time.Duration
	dirty          bool
	decisions      []Decision
	queuedCommands []Command

	unansweredStarts []*run // ordered to start lately, the oldest order first
	yields           yields
	retryBudget      *admission.RetryBudget
	relays           startRelays
	startWindow      startWindow
	queues           map[string]*cluster.Queue // newest known; a queue that was removed still has jobs
	lastPlanAt       time.Duration
	lastScanAt       time.Duration
	lastAppendTime   time.Duration   // of the last batch, from its hand-over to its acknowledgement
	planAttempts     int             // of the last pass, to find room
	maxFree          resource.Vector // largest free amounts of any worker, in this planning pass
}

// New returns the placer of a claim that was read at the given offset token. It takes
// over all runs that the log says are active.
func New(state *flow.State, config *cluster.Configuration, o Options, now time.Duration) *Placer {
	p := &Placer{
		options: o, state: state, config: config, cell: place.NewCell(),
		vms: map[string]*vm{}, runs: map[cluster.TaskID]*run{}, jobs: map[string]*pendingJob{},
		steps: map[cluster.StepID]*pendingStep{}, advisers: newAdvisers(), grantRates: map[string]float64{},
		retryBudget: admission.NewRetryBudget(), relays: newStartRelays(o.LinkMbps, now), startWindow: newStartWindow(now),
		queues: map[string]*cluster.Queue{}, token: state.FencingToken, epoch: state.Claim.Epoch, createdAt: now, flushedAt: now, dirty: true,
	}
	p.advisers.sortByName = o.Disabled.NearAdvisers
	p.SetConfig(config)
	for _, j := range state.Jobs {
		p.adoptRuns(j, now)
	}
	for _, j := range state.Jobs {
		p.addJob(j, now)
	}
	return p
}

// adoptRuns takes over the active runs of a job. Until their worker has answered a look,
// they may run or begin there.
func (p *Placer) adoptRuns(j *flow.Job, now time.Duration) {
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				t := &o.Steps[s].Tasks[i]
				if !t.Active {
					continue
				}
				id := cluster.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}
				v := p.worker(t.Life, now)
				r := &run{
					RunID: cluster.RunID{TaskID: id, Run: t.LastRun}, state: uncertain, vm: v, size: occupiedRoom(&j.Steps[s]),
					spec: j.Spec, checkpoint: t.Checkpoint, recorded: true, wanted: !j.Phase.Final(), plannedAt: now, answeredAt: now,
					pacePercent: 100, // what the former placer ordered is not known
				}
				p.runs[id] = r
				v.runs[id] = r
				v.inheritedLeaseEnd = now + p.options.Lease + p.options.MaxRenewalWithoutLog + leaseMargin
			}
		}
	}
}

// worker returns the worker of a life and makes it if it is not known.
func (p *Placer) worker(life cluster.Life, now time.Duration) *vm {
	v := p.vms[life.Worker]
	if v == nil {
		v = &vm{runs: map[cluster.TaskID]*run{}, nextPollAt: now}
		v.Life = life
		p.vms[life.Worker] = v
	}
	return v
}

func (p *Placer) addDecision(n Decision) { p.decisions = append(p.decisions, n) }

// TakeDecisions returns the decisions since the last call.
func (p *Placer) TakeDecisions() []Decision {
	notes := p.decisions
	p.decisions = nil
	return notes
}

// Epoch returns the epoch of the placer's appends.
func (p *Placer) Epoch() int64 { return p.epoch }

// WaitingSteps returns the number of steps that wait for room or advice.
func (p *Placer) WaitingSteps() int { return len(p.steps) }

// ActiveRuns returns the number of runs from plan to recorded end.
func (p *Placer) ActiveRuns() int { return len(p.runs) }

// occupiedRoom is the room that a task takes away from others on its worker. One that fills
// works with the cores that they leave.
func occupiedRoom(s *flow.Step) resource.Vector {
	v := s.Size
	if s.Backfill {
		v.MilliCores = 0
	}
	return v
}

// SetConfig takes a newer configuration.
func (p *Placer) SetConfig(c *cluster.Configuration) {
	p.config = c
	for i := range c.Queues {
		p.queues[c.Queues[i].Name] = &c.Queues[i]
	}
	p.advisers.setQueues(c.Queues)
	p.dirty = true
}

// SetRegistry takes the workers that the platform lists.
func (p *Placer) SetRegistry(workers []cluster.Worker, now time.Duration) {
	for _, v := range p.vms {
		v.listed = false
	}
	p.workerIDs = p.workerIDs[:0]
	for i := range workers {
		w := &workers[i]
		p.workerIDs = append(p.workerIDs, w.Life.Worker)
		v := p.vms[w.Worker]
		if v == nil {
			v = p.worker(w.Life, now)
		}
		if w.Born < v.Born {
			continue // an entry that the platform has not replaced yet
		}
		life := v.Life
		v.Worker = *w
		v.listed, v.listedAt = true, now
		v.updateDeparture(w, now)
		if w.Born > life.Born && life.Born != 0 {
			// Only its own lists tell which runs it has.
			v.Life, v.tokenSeen, v.nextPollAt = life, false, now
		}
	}
	slices.Sort(p.workerIDs)
	for id, v := range p.vms {
		if !v.listed && len(v.runs) == 0 && !v.pollInFlight {
			p.cell.RemoveWorker(id)
			delete(p.vms, id)
			continue
		}
		p.updateCellWorker(v, now)
	}
	p.dirty = true
}

// updateCellWorker tells the cell of a worker.
func (p *Placer) updateCellWorker(v *vm, now time.Duration) {
	if v.Address == "" {
		return
	}
	if v.Draining && v.listed {
		p.cell.SetDraining(v.Life.Worker)
	}
	_, known := p.cell.Worker(v.Life.Worker)
	p.cell.UpdateWorker(place.Worker{
		VM: v.Life.Worker, DataCentre: v.DataCentre, Rack: v.Rack, Incarnation: v.Born,
		Pools: []string{v.Pool}, Labels: v.Labels, Capacity: v.Capacity,
	})
	if !known {
		for _, r := range v.runs {
			p.cell.AddTask(v.Life.Worker, p.cellTask(r, now))
		}
	}
	if v.Draining {
		p.cell.SetDraining(v.Life.Worker)
	}
	present := v.listed || now-v.listedAt < unlistedGrace && now-v.answeredAt < unlistedAnswerTimeout
	p.cell.SetLive(v.Life.Worker, present && !v.Draining && v.tokenSeen && v.missedPolls == 0 && now >= v.avoidUntil)
}

func (p *Placer) cellTask(r *run, now time.Duration) place.Task {
	t := place.Task{ID: cellTaskID(r.TaskID), Job: cellJobID(r.StepID()), Generation: int64(r.Run), Resources: r.size}
	if j := p.state.Jobs[r.Job]; j != nil && r.Step < len(j.Steps) {
		t.ExpectedEnd = now + time.Duration(j.Steps[r.Step].EstimateMS)*time.Millisecond
	}
	return t
}

// workerRestarted follows a worker's own word that it has started again. Runs that it does not
// list ended with the former life. Orders of the former life that were not answered may
// still be carried out in the new one, under the longest lease.
func (p *Placer) workerRestarted(v *vm, report *cluster.WorkerReport, now time.Duration) {
	p.addDecision(Decision{Kind: "worker started again", Worker: v.Life.Worker, Version: report.Life.Born})
	listedRuns := map[cluster.RunID]bool{}
	for i := range report.Running {
		listedRuns[report.Running[i].RunID] = true
	}
	for i := range report.Ended {
		listedRuns[report.Ended[i].RunID] = true
	}
	v.resetLife(report.Life)
	v.inheritedLeaseEnd = now + p.options.MaxLease + leaseMargin
	for _, r := range v.runs {
		r.wasListed = false
		switch {
		case !r.startOrdered() || listedRuns[r.RunID]:
		case r.state == starting || r.state == uncertain || r.answeredAt >= v.pollSentAt || r.mayStartLate(now):
			v.inheritedLeaseEnd = now + maxOrderDelay + p.options.MaxLease + leaseMargin
		default:
			p.endRun(r, cluster.Lost, "", now)
		}
	}
	p.cell.RemoveWorker(v.Life.Worker)
	p.updateCellWorker(v, now)
}

// FormerPlacerRetired takes the news that the former placer sends no more orders: what it
// ordered ends with the leases that it gave until now.
func (p *Placer) FormerPlacerRetired(now time.Duration) {
	for _, v := range p.vms {
		if v.inheritedLeaseEnd > 0 {
			v.inheritedLeaseEnd = min(v.inheritedLeaseEnd, now+p.options.Lease+leaseMargin)
		}
	}
}
