package object

import (
	"time"

	"briarproxy/core/jsonc"
	"briarproxy/core/resource"
)

// These are the bounds and defaults of fields.
const (
	maxBodyLimitBytes        = 16 << 20 // A daemon holds a whole response in memory while it verifies it.
	defaultMaxBodyBytes      = 1 << 20
	maxRunTime               = 30 * 24 * time.Hour
	maxDeadline              = 7 * 24 * time.Hour
	minDuration              = time.Millisecond
	maxTasks                 = 100_000
	maxAttempts              = 100
	defaultMaxAttempts       = 3
	maxRetries               = 20
	maxBackoff               = time.Hour
	maxPriority              = 1000
	maxPoolVMs               = 1_000_000
	maxAcceleratorsPerVector = 1024
	maxSlotsPerVector        = 1 << 20
	maxTeamWeight            = 1000
	defaultTeamWeight        = 1
)

// specFields creates the object with its defaults and returns the fields of its spec.
// ok is false for an unknown kind.
func (s *objectSource) specFields() (fields []jsonc.Field, ok bool) {
	switch s.kind {
	case KindService:
		s.service = &Service{Operations: map[string]*Operation{}, MaxBodyBytes: defaultMaxBodyBytes}
		return serviceFields(s.service), true
	case KindBatchJob:
		s.batch = &BatchJob{JobTemplate: defaultJobTemplate()}
		s.job = &s.batch.JobTemplate
		return jobFields(s.job), true
	case KindGangJob:
		s.gang = &GangJob{JobTemplate: defaultJobTemplate()}
		s.job = &s.gang.JobTemplate
		minRacks := jsonc.Field{Name: "min_racks", Read: jsonc.Int(&s.gang.MinRacks, 0, maxTasks)}
		return append(jobFields(s.job), minRacks), true
	case KindPolicy:
		s.policy = &Policy{}
		return policyFields(s.policy), true
	case KindPool:
		s.pool = &Pool{Fencing: true}
		return poolFields(s.pool), true
	case KindTeam:
		s.team = &Team{Weight: defaultTeamWeight}
		return teamFields(s.team), true
	}
	return nil, false
}

func defaultJobTemplate() JobTemplate { return JobTemplate{Tasks: 1, MaxAttempts: defaultMaxAttempts} }

func serviceFields(s *Service) []jsonc.Field {
	return []jsonc.Field{
		{Name: "pool", Required: true, Read: jsonc.Name(&s.Pool)},
		{Name: "team", Required: true, Read: jsonc.Name(&s.Team)},
		{Name: "operations", Required: true, Read: readOperations(s.Operations)},
		{Name: "max_body", Read: jsonc.Bytes(&s.MaxBodyBytes, 1, maxBodyLimitBytes)},
	}
}

func readOperations(operations map[string]*Operation) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		count := 0
		ok := r.ReadMembers(n, func(name string, member jsonc.Node) {
			count++
			o := &Operation{}
			r.CheckName(member, name)
			r.ReadObject(member, operationFields(o))
			operations[name] = o
		})
		if ok && count == 0 {
			r.AddIssue(n, jsonc.RuleOutOfRange, "add an operation", "a service needs at least one operation")
		}
	}
}

func operationFields(o *Operation) []jsonc.Field {
	return []jsonc.Field{
		{Name: "policy", Required: true, Read: jsonc.Name(&o.Policy)},
		{Name: "idempotent", Required: true, Read: jsonc.Bool(&o.Idempotent)},
		{Name: "run_time", Required: true, Read: jsonc.Duration(&o.RunTime, minDuration, maxRunTime)},
		{Name: "max_run_time", Required: true, Read: jsonc.Duration(&o.MaxRunTime, minDuration, maxRunTime)},
	}
}

func jobFields(j *JobTemplate) []jsonc.Field {
	return []jsonc.Field{
		{Name: "pool", Required: true, Read: jsonc.Name(&j.Pool)},
		{Name: "policy", Required: true, Read: jsonc.Name(&j.Policy)},
		{Name: "team", Required: true, Read: jsonc.Name(&j.Team)},
		{Name: "operation", Required: true, Read: jsonc.Name(&j.Operation)},
		{Name: "tasks", Read: jsonc.Int(&j.Tasks, 1, maxTasks)},
		{Name: "resources", Required: true, Read: readVector(&j.Resources)},
		{Name: "run_time", Required: true, Read: jsonc.Duration(&j.RunTime, minDuration, maxRunTime)},
		{Name: "max_attempts", Read: jsonc.Int(&j.MaxAttempts, 1, maxAttempts)},
	}
}

func policyFields(p *Policy) []jsonc.Field {
	return []jsonc.Field{
		{Name: "parent", Read: jsonc.Name(&p.Parent)},
		{Name: "priority", Read: jsonc.Int(&p.Priority, 0, maxPriority)},
		{Name: "deadline", Read: jsonc.Duration(&p.Deadline, minDuration, maxDeadline)},
		{Name: "durable", Read: jsonc.Bool(&p.Durable)},
		{Name: "min_share", Read: jsonc.Float(&p.MinShare, 0, 1)},
		{Name: "headroom", Read: jsonc.Float(&p.Headroom, 0, 1)},
		{Name: "can_preempt", Read: jsonc.Bool(&p.CanPreempt)},
		{Name: "preemptible", Read: jsonc.Bool(&p.Preemptible)},
		{Name: "checkpoint", Read: jsonc.Bool(&p.Checkpoint)},
		{Name: "spread_racks", Read: jsonc.Bool(&p.SpreadRacks)},
		{Name: "cross_region", Read: jsonc.Bool(&p.CrossRegion)},
		{Name: "max_retries", Read: jsonc.Int(&p.MaxRetries, 0, maxRetries)},
		{Name: "retry_backoff", Read: jsonc.Duration(&p.RetryBackoff, minDuration, maxBackoff)},
	}
}

func poolFields(p *Pool) []jsonc.Field {
	return []jsonc.Field{
		{Name: "regions", Read: jsonc.Names(&p.Regions)},
		{Name: "data_centres", Read: jsonc.Names(&p.DataCentres)},
		{Name: "racks", Read: jsonc.Names(&p.Racks)},
		{Name: "largest", Required: true, Read: readVector(&p.LargestVM)},
		{Name: "vms", Required: true, Read: jsonc.Int(&p.ExpectedVMs, 0, maxPoolVMs)},
		{Name: "fencing", Read: jsonc.Bool(&p.Fencing)},
	}
}

func teamFields(t *Team) []jsonc.Field {
	return []jsonc.Field{
		{Name: "weight", Read: jsonc.Float(&t.Weight, 0.001, maxTeamWeight)},
		{Name: "quota", Read: readVector(&t.Quota)},
	}
}

func readVector(v *resource.Vector) jsonc.ReadFunc {
	return func(r *jsonc.Reader, n jsonc.Node) {
		r.ReadObject(n, []jsonc.Field{
			{Name: "cores", Read: jsonc.Cores(&v.MilliCores)},
			{Name: "memory", Read: jsonc.Memory(&v.MemoryMiB)},
			{Name: "accelerators", Read: jsonc.Int(&v.Accelerators, 0, maxAcceleratorsPerVector)},
			{Name: "slots", Read: jsonc.Int(&v.Slots, 0, maxSlotsPerVector)},
		})
	}
}
