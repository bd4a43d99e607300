package placer

import (
	"slices"
	"time"

	"briarproxy/core/admission"
	"briarproxy/core/cluster"
	"briarproxy/core/flow"
	"briarproxy/core/place"
	"briarproxy/core/resource"
	"briarproxy/core/share"
)

// Fixed times and limits.
const (
	// maxClockDrift is how much slower than real time the platform's contract allows a
	// worker's clock to run.
	maxClockDrift = 0.02
	// leaseMargin covers the rounding of worker clocks and the scheduling delay of this process.
	leaseMargin = 150 * time.Millisecond
	// maxPollWait is how long a worker may delay its answer to a poll until a run ends.
	maxPollWait = 1400 * time.Millisecond
	// pollRoundTrip is how much longer than its wait a poll takes, between regions.
	pollRoundTrip = 100 * time.Millisecond
	// maxSilenceForRenewal is longer than a poll takes. The lease of a worker that has not
	// answered for this long is not renewed.
	maxSilenceForRenewal = 2600 * time.Millisecond
	// maxCommandDelay is how long after a command without an answer the platform's contract
	// allows the worker to execute it.
	maxCommandDelay = 12 * time.Second
	// avoidAfterNoAnswer is how long nothing is placed on a worker that did not answer a start
	// command.
	avoidAfterNoAnswer = time.Second
	// pollInterval is the time from the answer to one poll to the next poll of the same
	// worker. Each poll has a cost.
	pollInterval = 150 * time.Millisecond
	// idlePollInterval is short enough that the error in the estimate of an idle worker's
	// clock stays below the slack of a lease.
	idlePollInterval = 20 * time.Second
	// silentPollInterval is the time between polls of a worker that has not answered the last one and has
	// no runs.
	silentPollInterval = 2 * time.Second
	// missedPollDelay is the time from the failure of a poll to the next poll of the worker.
	missedPollDelay = 400 * time.Millisecond
	// minMissedPolls is the number of polls in a row that a worker has to leave unanswered until its runs
	// are given up.
	minMissedPolls = 2
	// stopRetryInterval is the time after which a stop command without effect is sent again.
	stopRetryInterval = 700 * time.Millisecond
	// ticketSendMargin is the validity that a ticket must still have when the start command
	// is sent: the one-way latency to a distant region and queueing.
	ticketSendMargin = 150 * time.Millisecond
	// ticketPlanMargin is the validity that a ticket must still have when a run is planned,
	// because the plan has to be recorded before the start command is sent.
	ticketPlanMargin = 350 * time.Millisecond
	// batchInterval is the time for which plans and ends are gathered into one append.
	batchInterval = 12 * time.Millisecond
	// scanInterval is the least time between two scans of all workers and runs. Every event
	// causes a tick, and there may be a thousand events a second.
	scanInterval = 10 * time.Millisecond
	// scanIntervalPerRun bounds the share of the processor that the scans take in a large cell.
	scanIntervalPerRun = 2500 * time.Nanosecond
	// maxStartedJobsDelay is how long the record that a job has started waits for a batch that is
	// appended for other reasons.
	maxStartedJobsDelay = 150 * time.Millisecond
	// heartbeatInterval is the time after which an idle placer appends an empty batch to show
	// that it is alive. Several heartbeats fit into a failover timeout.
	heartbeatInterval = 250 * time.Millisecond
	// unregisteredGracePeriod is how long a worker that has left the registry stays in use while
	// it answers. An entry may disappear from the registry and be written again.
	unregisteredGracePeriod = 5 * time.Second
	// unregisteredAnswerTimeout is how recent the last answer of such a worker has to be.
	unregisteredAnswerTimeout = 2500 * time.Millisecond
	// failuresToAvoid is the number of runs of different jobs that have to fail in a row on
	// a worker before it is avoided for avoidAfterFailures.
	failuresToAvoid    = 3
	avoidAfterFailures = 6 * time.Second
	// avoidAfterRefusal is how long a worker is avoided after it has refused a start for lack of
	// capacity. If it refuses as unhealthy, the time is multiplied by the number of such refusals
	// in a row, at most 8.
	avoidAfterRefusal = 500 * time.Millisecond
)

// Options are the limits of a deployment.
type Options struct {
	Lease                time.Duration // of the runs on a worker, counted from each renewal
	MaxLease             time.Duration // longest lease that a worker accepts
	MaxRenewalWithoutLog time.Duration // a placer that can't reach the log renews leases for at most this long
	EarlyStart           time.Duration // a task with a due time may start this much earlier
	StopTimeout          time.Duration // longest time that a worker takes to stop a run
	RemoteFactor         float64       // run time away from a task's data, or across racks, as a multiple; 0 means unknown
	OpenPolls            int           // polls that may be under way at a time; the others wait for their turn; 0 means any number
	LinkMbps             float64       // bandwidth of the placer's network link; 0 means unknown
	Disabled             DisabledMechanisms
}

// Command is an action for the caller of the Placer to perform. Exactly one field is set.
type Command struct {
	Start  *StartCommand
	Stop   *StopCommand
	Poll   *PollCommand
	Advise *AdviseCommand
	Pace   *PaceCommand
}

// StartCommand tells a worker to start a run.
type StartCommand struct {
	Life         cluster.Life
	Address      string
	Order        cluster.Start
	Relay        string        // name of the daemon that sends the command; "" means this daemon
	SendDeadline time.Duration // boot clock; a command sent later would reach the worker after its ticket or lease has expired
}

// StopCommand tells a worker to stop a run.
type StopCommand struct {
	Life    cluster.Life
	Address string
	Run     cluster.RunID
	Token   int64
}

// PollCommand renews a worker's lease and requests its lists of running and ended runs.
type PollCommand struct {
	Life    cluster.Life
	Address string
	Renewal cluster.LeaseRenewal
}

// AdviseCommand asks the advice service, through the given daemon, which workers may run a step.
type AdviseCommand struct {
	Step    cluster.StepID
	Workers []string
	Daemon  string
}

// Decision is a decision of the placer, or a change in what it assumes about a worker or a
// run, for the daemon's log.
type Decision struct {
	Kind              string
	Job               string
	Task              cluster.TaskID
	Run               int
	Worker            string
	Reason            string
	Age               time.Duration // of the input on which the decision is based
	Value             int64         // depends on Kind: the fencing token, the incarnation of a worker, a limit, a percentage or a number of tasks
	WastedCoreSeconds float64       // core-seconds of work lost with the end of a run
}

// Kinds of decisions of which the metrics also use other fields.
const (
	DecisionRunEnded   = "run ended"
	DecisionJobStarted = "job began" // a worker has accepted the first run of a job; Reason is the queue of the job
)

// decisionPlanRefused is the kind of decision that reports a fault of the planner.
const decisionPlanRefused = "plan refused"

// decisionForeignLease is the kind of decision that reports a lease on another incarnation than the
// intended one. Age is the duration of the lease, Value the intended incarnation.
const decisionForeignLease = "lease on another incarnation"

// Placer is the state of the placer of one log partition. Its times are those of the boot clock.
type Placer struct {
	options        Options
	state          *flow.State
	config         *cluster.Configuration
	cell           *place.Cell
	vms            map[string]*vm
	workspaces     map[string]*workspace
	pools          map[string]*poolUse // in this planning pass
	running        share.Turns         // with the weights of the workspaces that have runs
	workerIDs      []string            // workers of the registry, sorted
	runs           map[cluster.TaskID]*run
	jobs           map[string]*pendingJob
	steps          map[cluster.StepID]*pendingStep
	dueOccurrences []dueOccurrence
	advisers       *advisers
	grantRates     map[string]float64 // by queue: share of the workers asked about that advice grants
	pendingBatch   flow.Batch
	pendingRuns    []*run                  // runs of pendingBatch.Begins
	lostStarts     map[string][]*lostStart // by worker
	unconfirmed    map[string]bool         // workers of the registry at the address of a silent one that have not answered yet
	lateEnds       map[cluster.RunID]*vm   // late ends that are not recorded yet, with the worker that listed them
	flushedAt      time.Duration
	token          int64
	epoch          int64
	createdAt      time.Duration
	formerPlacers  []formerPlacer
	planNeeded     bool // something has changed since the last planning pass
	decisions      []Decision
	queuedCommands []Command

	recentStarts       []*run // runs whose first start command was sent within startRetryDelay, oldest first
	yields             yields
	retryBudget        *admission.RetryBudget
	speeds             workerSpeeds
	waits              waits
	relays             startRelays
	startWindow        startWindow
	queues             map[string]*cluster.Queue // newest known definitions; a removed queue may still have jobs
	lastPlanAt         time.Duration
	lastScanAt         time.Duration
	lastTickAt         time.Duration
	wallOffsetMS       int64           // Unix ms minus boot clock, at the last tick
	workersWithRuns    int             // at the last scan
	lastAppendDuration time.Duration   // of the last batch, from Flush to its acknowledgement
	planPass           int             // number of planning passes so far
	plannedSteps       int             // number of steps in the last planning pass
	planAttempts       int             // number of times that the last planning pass called the cell's planner
	maxFree            resource.Vector // largest free amount of each resource on any worker, in this planning pass
	totalCapacity      resource.Vector // of the workers that may receive tasks, in this planning pass
}

// New returns the placer for the newest claim in the state. It adopts all runs that are active
// according to the log.
func New(state *flow.State, config *cluster.Configuration, options Options, now time.Duration) *Placer {
	p := &Placer{
		options: options, state: state, config: config, cell: place.NewCell(),
		vms: map[string]*vm{}, workspaces: map[string]*workspace{}, pools: map[string]*poolUse{}, runs: map[cluster.TaskID]*run{}, jobs: map[string]*pendingJob{}, lateEnds: map[cluster.RunID]*vm{}, lostStarts: map[string][]*lostStart{}, unconfirmed: map[string]bool{},
		steps: map[cluster.StepID]*pendingStep{}, advisers: newAdvisers(), grantRates: map[string]float64{},
		retryBudget: admission.NewRetryBudget(), relays: newStartRelays(options.LinkMbps, now), startWindow: newStartWindow(now),
		speeds: newWorkerSpeeds(), waits: newWaits(), queues: map[string]*cluster.Queue{}, token: state.ClaimToken, epoch: state.Claim.Epoch, createdAt: now, flushedAt: now, planNeeded: true,
	}
	p.advisers.sortByName = options.Disabled.NearAdvisers
	p.SetConfig(config)
	p.setFormerPlacers(now)
	p.restoreSpeeds(now)
	for _, job := range state.Jobs {
		p.adoptRuns(job, now)
	}
	for _, job := range state.Jobs {
		p.addJob(job, now)
	}
	return p
}

// adoptRuns takes over the active runs and the lost starts of a job. Until their worker has answered a poll, each
// of them may be running there or may still start.
func (p *Placer) adoptRuns(job *flow.Job, now time.Duration) {
	for k, occurrence := range job.Occurrences {
		for step := range occurrence.Steps {
			for i := range occurrence.Steps[step].Tasks {
				task := &occurrence.Steps[step].Tasks[i]
				id := cluster.TaskID{Job: job.ID, Occurrence: k, Step: step, Index: i}
				p.addLostStarts(id, task, true, now)
				if !task.Active {
					continue
				}
				v := p.ensureWorker(task.Life, now)
				r := &run{
					RunID: cluster.RunID{TaskID: id, Run: task.LastRun}, state: uncertain, vm: v, size: reservedResources(&job.Steps[step]),
					spec: job.Spec, checkpoint: task.Checkpoint, recorded: true, adopted: true, beganMS: task.BeganMS, wanted: !job.Phase.Final(), plannedAt: now, answeredAt: now,
					pacePercent: 100, // the pace that the former placer set is not known
				}
				p.countRun(r, job)
				p.runs[id] = r
				v.runs[id] = r
				v.hasFormerLease = true
			}
		}
	}
}

// wallAtMS returns the Unix ms at a time of the boot clock.
func (p *Placer) wallAtMS(at time.Duration) int64 { return p.wallOffsetMS + at.Milliseconds() }

// ensureWorker returns the named worker, and adds it with the given incarnation if it is not
// known.
func (p *Placer) ensureWorker(life cluster.Life, now time.Duration) *vm {
	v := p.vms[life.Worker]
	if v == nil {
		v = &vm{runs: map[cluster.TaskID]*run{}, nextPollAt: now}
		v.Life = life
		p.vms[life.Worker] = v
	}
	return v
}

func (p *Placer) addDecision(d Decision) { p.decisions = append(p.decisions, d) }

// TakeDecisions returns the decisions since the last call.
func (p *Placer) TakeDecisions() []Decision {
	decisions := p.decisions
	p.decisions = nil
	return decisions
}

// Epoch returns the epoch of the placer's appends.
func (p *Placer) Epoch() int64 { return p.epoch }

// IncompleteSteps returns the number of steps that are ready and not complete, including those
// whose tasks are all running.
func (p *Placer) IncompleteSteps() int { return len(p.steps) }

// ActiveRuns returns the number of runs that are planned and whose end is not recorded yet.
func (p *Placer) ActiveRuns() int { return len(p.runs) }

// reservedResources returns the resources that a task of the step reserves on its worker. A
// backfill task reserves no cores: it uses those that other tasks leave idle.
func reservedResources(step *flow.Step) resource.Vector {
	v := step.Size
	if step.Backfill {
		v.MilliCores = 0
	}
	return v
}

// SetConfig replaces the configuration by a newer one.
func (p *Placer) SetConfig(config *cluster.Configuration) {
	p.config = config
	for i := range config.Queues {
		p.queues[config.Queues[i].Name] = &config.Queues[i]
	}
	p.advisers.setQueues(config.Queues)
	p.setWorkspaces(config.Workspaces)
	p.planNeeded = true
}

// SetRegistry replaces the list of workers by the platform's current one.
func (p *Placer) SetRegistry(workers []cluster.Worker, now time.Duration) {
	for _, v := range p.vms {
		v.inRegistry = false
	}
	p.workerIDs = p.workerIDs[:0]
	for i := range workers {
		entry := &workers[i]
		p.workerIDs = append(p.workerIDs, entry.Life.Worker)
		v := p.vms[entry.Worker]
		if v == nil {
			v = p.ensureWorker(entry.Life, now)
		}
		if entry.Born < v.Born {
			continue // the entry describes an earlier incarnation of the worker
		}
		life, differs := v.Life, isOtherMachine(&v.Worker, entry)
		v.Worker = *entry
		if differs {
			p.forgetSpeed(v, now)
		}
		v.inRegistry, v.lastInRegistryAt = true, now
		v.updateDeparture(entry, now)
		if entry.Born > life.Born && life.Born != 0 {
			// Only the worker's own lists show which runs survived the restart.
			v.Life, v.tokenSeen, v.nextPollAt = life, false, now
		}
	}
	p.observeReplacements(workers, now)
	slices.Sort(p.workerIDs)
	p.speeds.outdated = true
	p.speeds.estimator.Expire(now)
	for id, v := range p.vms {
		if !v.inRegistry && len(v.runs) == 0 && len(v.untracked) == 0 && !v.pollInFlight {
			p.cell.RemoveWorker(id)
			delete(p.vms, id)
			continue
		}
		p.updateCellWorker(v, now)
	}
	p.planNeeded = true
}

// updateCellWorker updates the cell's description of a worker and whether tasks may be placed on it.
func (p *Placer) updateCellWorker(v *vm, now time.Duration) {
	if v.Address == "" {
		return
	}
	if v.Draining && v.inRegistry {
		p.cell.SetDraining(v.Life.Worker)
	}
	_, known := p.cell.Worker(v.Life.Worker)
	p.cell.UpdateWorker(place.Worker{
		VM: v.Life.Worker, DataCentre: v.DataCentre, Rack: v.Rack, Incarnation: v.Born,
		Pools: []string{v.Pool}, Labels: v.Labels, Capacity: v.Capacity,
	})
	if !known {
		p.cell.SetSpeedLevel(v.Life.Worker, v.penaltyLevel())
		for _, r := range v.runs {
			p.cell.AddTask(v.Life.Worker, p.cellTask(r, now))
		}
	}
	if v.Draining {
		p.cell.SetDraining(v.Life.Worker)
	}
	present := v.inRegistry || now-v.lastInRegistryAt < unregisteredGracePeriod && now-v.answeredAt < unregisteredAnswerTimeout
	p.cell.SetLive(v.Life.Worker, present && !v.Draining && v.tokenSeen && v.missedPolls == 0 && now >= v.avoidUntil && !v.onTrial())
}

func (p *Placer) cellTask(r *run, now time.Duration) place.Task {
	task := place.Task{ID: cellTaskID(r.TaskID), Job: cellJobID(r.StepID()), Generation: int64(r.Run), Resources: r.size}
	if j := p.state.Jobs[r.Job]; j != nil && r.Step < len(j.Steps) {
		task.SetExpectedRunTime(j.Steps[r.Step].ExpectedRunTime(), now)
	}
	return task
}

// workerRestarted handles the report of a worker that has restarted. Runs that it does not
// list ended with its previous incarnation. The new incarnation may still execute unanswered
// commands to the previous one, under the longest lease.
func (p *Placer) workerRestarted(v *vm, report *cluster.WorkerReport, now time.Duration) {
	p.addDecision(Decision{Kind: "worker started again", Worker: v.Life.Worker, Value: report.Life.Born})
	listedRuns := map[cluster.RunID]bool{}
	for i := range report.Running {
		listedRuns[report.Running[i].RunID] = true
	}
	for i := range report.Ended {
		listedRuns[report.Ended[i].RunID] = true
	}
	p.countUntracked(v, nil)
	v.resetLife(report.Life)
	v.hasFormerLease = false // the report proves that this incarnation has seen this placer's token
	v.lateLeaseEnd = now + p.options.MaxLease + leaseMargin
	for _, r := range v.runs {
		r.wasListed = false
		if !listedRuns[r.RunID] {
			p.suspectStep(r, now)
		}
		if r.mayHaveStarted() && !v.Draining && !listedRuns[r.RunID] && p.isLastStart(r) && isCrashRestart(r.beganMS, report.Life.Born) {
			r.lostStart = crashReason(!r.adopted)
		}
		switch {
		case !r.mayHaveStarted() || listedRuns[r.RunID]:
		case r.state == starting || r.state == uncertain || r.answeredAt >= v.pollSentAt || r.mayStartLate(now):
			v.lateLeaseEnd = now + maxCommandDelay + p.options.MaxLease + leaseMargin
		default:
			p.endRun(r, cluster.Lost, "", now)
		}
	}
	p.cell.RemoveWorker(v.Life.Worker)
	p.updateCellWorker(v, now)
}
