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
	clockDrift      = 0.02                   // workers' clocks may be this much slow, by the platform's contract
	leaseMargin     = 150 * time.Millisecond // rounding of worker clocks and scheduling delay of this process
	lookWait        = 1400 * time.Millisecond
	renewSilence    = 2600 * time.Millisecond // a worker that has not answered for longer than a look takes gets no new lease
	lateOrder       = 12 * time.Second        // an order without an answer may be carried out this much later, by the platform's contract
	silentAvoid     = time.Second             // nothing is placed on a worker that left an order unanswered
	lookGap         = 150 * time.Millisecond  // between two looks at one worker: each has a price
	idleLook        = 20 * time.Second        // idle workers: keeps the clock's error below a lease's slack
	missedLookGap   = 400 * time.Millisecond
	stopAgain       = 700 * time.Millisecond // an order to stop that had no effect is repeated after this time
	ticketMargin    = 150 * time.Millisecond // left of a ticket when the order is sent: one way to a far region and queueing
	ticketPlan      = 350 * time.Millisecond // left of a ticket for a plan that is still to be recorded
	batchGap        = 12 * time.Millisecond  // gathers plans and ends into one append
	scanGap         = 10 * time.Millisecond  // between two scans of all workers and runs; each of a thousand events a second comes with a tick
	startedGap      = 150 * time.Millisecond // that a job has begun may be told this much later
	beatGap         = 250 * time.Millisecond // an idle placer shows that it is alive; several fit into a failover time
	unlistedGrace   = 5 * time.Second        // a worker whose entry vanished is used on while it answers: entries may be dropped and written again
	answerGrace     = 2500 * time.Millisecond
	failuresToAvoid = 3
	avoidFor        = 6 * time.Second
	refusalAvoid    = 500 * time.Millisecond
)

// Options are the bounds of a deployment.
type Options struct {
	Lease    time.Duration // of the runs on a worker, from each renewal
	MaxLease time.Duration // longest lease that a worker grants
	Orphan   time.Duration // a placer that lost the log renews leases for at most this long
	Early    time.Duration // a task with a due time may begin this much earlier
	Stop     time.Duration // a worker may take this long to stop a run
	LinkMbps float64       // of the placer's machine; 0 is not known
	Without  Ablation
}

// Command is one thing to do. Exactly one field is set.
type Command struct {
	Start  *StartCommand
	Stop   *StopCommand
	Look   *LookCommand
	Advise *AdviseCommand
	Pace   *PaceCommand
}

// StartCommand orders a worker to start a run.
type StartCommand struct {
	Life    cluster.Life
	Address string
	Order   cluster.Start
	Courier string        // the daemon that sends the order; "" is this one
	SendBy  time.Duration // boot clock: sent later it would reach the worker after its ticket or lease
}

// StopCommand orders a worker to stop a run.
type StopCommand struct {
	Life    cluster.Life
	Address string
	Run     cluster.RunID
	Token   int64
}

// LookCommand renews a worker's lease and asks for its lists.
type LookCommand struct {
	Life    cluster.Life
	Address string
	Hold    cluster.Hold
}

// AdviseCommand asks which workers may run a step, through the given daemon.
type AdviseCommand struct {
	Step    cluster.StepID
	Workers []string
	Daemon  string
}

// Note is a decision or a change of belief for the log of the daemon.
type Note struct {
	What    string
	Job     string
	Task    cluster.TaskID
	Run     int
	Worker  string
	Reason  string
	Age     time.Duration // of the input that decided
	Version int64         // of the configuration, or the offset of the record, that decided
	Thrown  float64       // core-seconds of work that an end has made useless
}

// Notes that the metrics count by more than their name.
const (
	NoteEnded = "run ended"
	NoteBegan = "job began" // the first run of a job was taken; Reason is its queue
)

// Placer is the state of the placer of one log partition.
type Placer struct {
	options Options
	state   *flow.State
	config  *cluster.Configuration
	cell    *place.Cell
	vms     map[string]*vm
	order   []string // ids of the workers of the registry, sorted
	runs    map[cluster.TaskID]*run
	jobs    map[string]*jobWork
	steps   map[cluster.StepID]*stepWork
	due     []dueStep
	advise  *advisers
	granted map[string]float64 // by queue: share of workers that advice grants
	out     flow.Batch
	outRuns []*run // runs of out.Begins
	sentAt  time.Duration
	token   int64
	epoch   int64
	since   time.Duration
	dirty   bool
	notes   []Note
	strays  []Command

	unanswered []*run // ordered to start lately, the oldest order first
	yields     yields
	budget     *admission.RetryBudget
	couriers   couriers
	window     window
	queues     map[string]*cluster.Queue // newest known; a queue that was removed still has jobs
	planAt     time.Duration
	scannedAt  time.Duration
	appendTook time.Duration   // of the last batch, from its hand-over to its acknowledgement
	tries      int             // of the last pass, to find room
	largest    resource.Vector // largest free amounts of any worker, in this planning pass
}

// New returns the placer of a claim that was read at the given offset token. It takes
// over all runs that the log says are active.
func New(state *flow.State, config *cluster.Configuration, o Options, now time.Duration) *Placer {
	p := &Placer{
		options: o, state: state, config: config, cell: place.NewCell(),
		vms: map[string]*vm{}, runs: map[cluster.TaskID]*run{}, jobs: map[string]*jobWork{},
		steps: map[cluster.StepID]*stepWork{}, advise: newAdvisers(), granted: map[string]float64{},
		budget: admission.NewRetryBudget(), couriers: newCouriers(o.LinkMbps, now), window: newWindow(now),
		queues: map[string]*cluster.Queue{}, token: state.Token, epoch: state.Claim.Epoch, since: now, sentAt: now, dirty: true,
	}
	p.advise.byNameOnly = o.Without.NearAdvisers
	p.SetConfig(config)
	for _, j := range state.Jobs {
		p.inherit(j, now)
	}
	for _, j := range state.Jobs {
		p.addJob(j, now)
	}
	return p
}

// inherit takes over the active runs of a job. Until their worker has answered a look,
// they may run or begin there.
func (p *Placer) inherit(j *flow.Job, now time.Duration) {
	for k, o := range j.Occurrences {
		for s := range o.Steps {
			for i := range o.Steps[s].Tasks {
				t := &o.Steps[s].Tasks[i]
				if !t.Active {
					continue
				}
				id := cluster.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i}
				v := p.vm(t.Life, now)
				r := &run{
					RunID: cluster.RunID{TaskID: id, Run: t.Run}, state: uncertain, vm: v, size: size(&j.Steps[s]),
					spec: j.Spec, checkpoint: t.Checkpoint, recorded: true, wanted: !j.Phase.Final(), plannedAt: now, answeredAt: now,
					paced: 100, // what the former placer ordered is not known
				}
				p.runs[id] = r
				v.runs[id] = r
				v.inherited = now + p.options.Lease + p.options.Orphan + leaseMargin
			}
		}
	}
}

// vm returns the worker of a life and makes it if it is not known.
func (p *Placer) vm(life cluster.Life, now time.Duration) *vm {
	v := p.vms[life.Worker]
	if v == nil {
		v = &vm{runs: map[cluster.TaskID]*run{}, lookAt: now}
		v.Life = life
		p.vms[life.Worker] = v
	}
	return v
}

func (p *Placer) note(n Note) { p.notes = append(p.notes, n) }

// Notes returns the decisions since the last call.
func (p *Placer) Notes() []Note {
	notes := p.notes
	p.notes = nil
	return notes
}

// Epoch returns the epoch of the placer's appends.
func (p *Placer) Epoch() int64 { return p.epoch }

// Waiting returns the number of steps that wait for room or advice.
func (p *Placer) Waiting() int { return len(p.steps) }

// RunsActive returns the number of runs from plan to recorded end.
func (p *Placer) RunsActive() int { return len(p.runs) }

// size is the room that a task takes away from others on its worker. One that fills
// works with the cores that they leave.
func size(s *flow.Step) resource.Vector {
	v := s.Size
	if s.Fills {
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
	p.advise.rules(c.Queues)
	p.dirty = true
}

// Registry takes the workers that the platform lists.
func (p *Placer) Registry(workers []cluster.Worker, now time.Duration) {
	for _, v := range p.vms {
		v.listed = false
	}
	p.order = p.order[:0]
	for i := range workers {
		w := &workers[i]
		p.order = append(p.order, w.Life.Worker)
		v := p.vms[w.Worker]
		if v == nil {
			v = p.vm(w.Life, now)
		}
		if w.Born < v.Born {
			continue // an entry that the platform has not replaced yet
		}
		life := v.Life
		v.Worker = *w
		v.listed, v.listedAt = true, now
		v.notice(w, now)
		if w.Born > life.Born && life.Born != 0 {
			// Only its own lists tell which runs it has.
			v.Life, v.fenced, v.lookAt = life, false, now
		}
	}
	slices.Sort(p.order)
	for id, v := range p.vms {
		if !v.listed && len(v.runs) == 0 && !v.looking {
			p.cell.RemoveWorker(id)
			delete(p.vms, id)
			continue
		}
		p.describe(v, now)
	}
	p.dirty = true
}

// describe tells the cell of a worker.
func (p *Placer) describe(v *vm, now time.Duration) {
	if v.Address == "" {
		return
	}
	if v.Draining && v.listed {
		p.cell.SetLeaving(v.Life.Worker)
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
		p.cell.SetLeaving(v.Life.Worker)
	}
	present := v.listed || now-v.listedAt < unlistedGrace && now-v.answered < answerGrace
	p.cell.SetUsable(v.Life.Worker, present && !v.Draining && v.fenced && v.misses == 0 && now >= v.avoidUntil)
}

func (p *Placer) cellTask(r *run, now time.Duration) place.Task {
	t := place.Task{ID: cellID(r.TaskID), Job: cellJob(r.StepID()), Generation: int64(r.Run), Resources: r.size}
	if j := p.state.Jobs[r.Job]; j != nil && r.Step < len(j.Steps) {
		t.ExpectedEnd = now + time.Duration(j.Steps[r.Step].EstimateMS)*time.Millisecond
	}
	return t
}

// newLife follows a worker's own word that it has started again. Runs that it does not
// list ended with the former life. Orders of the former life that were not answered may
// still be carried out in the new one, under the longest lease.
func (p *Placer) newLife(v *vm, report *cluster.Report, now time.Duration) {
	p.note(Note{What: "worker started again", Worker: v.Life.Worker, Version: report.Life.Born})
	there := map[cluster.RunID]bool{}
	for i := range report.Running {
		there[report.Running[i].RunID] = true
	}
	for i := range report.Ended {
		there[report.Ended[i].RunID] = true
	}
	v.forget(report.Life)
	v.inherited = now + p.options.MaxLease + leaseMargin
	for _, r := range v.runs {
		r.seen = false
		switch {
		case !r.ordered() || there[r.RunID]:
		case r.state == starting || r.state == uncertain || r.answeredAt >= v.lookSentAt || r.copyPending(now):
			v.inherited = now + lateOrder + p.options.MaxLease + leaseMargin
		default:
			p.endRun(r, cluster.Lost, "", now)
		}
	}
	p.cell.RemoveWorker(v.Life.Worker)
	p.describe(v, now)
}

// FormerRetired takes the news that the former placer sends no more orders: what it
// ordered ends with the leases that it gave until now.
func (p *Placer) FormerRetired(now time.Duration) {
	for _, v := range p.vms {
		if v.inherited > 0 {
			v.inherited = min(v.inherited, now+p.options.Lease+leaseMargin)
		}
	}
}
