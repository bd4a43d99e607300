package object

import (
	"fmt"
	"sort"

	"briarproxy/core/jsonc"
	"briarproxy/core/resource"
)

// check reports dangling references, conflicting fields and work that no VM or quota
// of the set can ever hold.
func (l *loader) check(set *Set) {
	var policies []*objectSource
	for _, s := range l.sources {
		switch s.kind {
		case KindService:
			l.checkService(set, s)
		case KindBatchJob, KindGangJob:
			l.checkJob(set, s)
		case KindPolicy:
			policies = append(policies, s)
			l.checkPolicy(set, s)
		case KindPool:
			l.checkPool(s)
		}
	}
	l.checkMinShares(policies)
}

// resolveReference returns the object that a field refers to, or reports a dangling
// reference and returns nil. An empty name is skipped: the reader has reported it if
// the field is required.
func resolveReference[T any](l *loader, s *objectSource, field string, kind Kind, name string, objects map[string]*T) *T {
	if name == "" {
		return nil
	}
	if found, ok := objects[name]; ok {
		return found
	}
	names := make([]string, 0, len(objects))
	for n := range objects {
		names = append(names, n)
	}
	sort.Strings(names)
	remedy := jsonc.Suggest(name, names)
	if len(names) == 0 {
		remedy = fmt.Sprintf("define %s %q", kind, name)
	}
	l.addProblem(s, field, RuleDanglingReference, remedy, "%s %q does not exist", kind, name)
	return nil
}

func (l *loader) checkService(set *Set, s *objectSource) {
	pool := resolveReference(l, s, "spec.pool", KindPool, s.service.Pool, set.Pools)
	resolveReference(l, s, "spec.team", KindTeam, s.service.Team, set.Teams)
	if pool != nil && l.pools[pool.Name].fieldsValid("largest") && pool.LargestVM.Slots < 1 {
		l.addProblem(s, "spec.pool", RuleNeverFits, "set slots of the pool's largest VM, or use another pool",
			"no VM of pool %q has a slot, so no request can ever run", pool.Name)
	}
	for name, operation := range s.service.Operations {
		l.checkOperation(set, s, "spec.operations."+name, operation)
	}
}

func (l *loader) checkOperation(set *Set, s *objectSource, path string, o *Operation) {
	if o.RunTime > 0 && o.MaxRunTime > 0 && o.MaxRunTime < o.RunTime {
		l.addProblem(s, path+".max_run_time", RuleConflictingFields, "raise max_run_time or lower run_time",
			"max_run_time %s is shorter than run_time %s", o.MaxRunTime, o.RunTime)
	}
	policy := resolveReference(l, s, path+".policy", KindPolicy, o.Policy, set.Policies)
	if policy == nil {
		return
	}
	if !policy.Durable && policy.Deadline > 0 && policy.Deadline < o.RunTime {
		l.addProblem(s, path+".policy", RuleNeverFits, "use a policy with a longer deadline or make it durable",
			"run_time %s is longer than the deadline %s of policy %q, so no answer can be in time", o.RunTime, policy.Deadline, policy.Name)
	}
	if !s.declaresIdempotent(path) || o.Idempotent {
		return
	}
	if policy.MaxRetries > 0 {
		l.addProblem(s, path+".policy", RuleUnsafeRetry, "use a policy with max_retries 0, or declare the operation idempotent if it is",
			"the operation is not idempotent, but policy %q retries %d times", policy.Name, policy.MaxRetries)
	}
	if policy.Preemptible {
		l.addProblem(s, path+".policy", RuleUnsafeRetry, "use a policy that is not preemptible",
			"the operation is not idempotent, but policy %q lets it be stopped and run again", policy.Name)
	}
}

// declaresIdempotent reports whether the operation has the field idempotent. If it is
// missing, the retry checks are skipped, because the missing field is reported already.
func (s *objectSource) declaresIdempotent(path string) bool {
	return s.reader.HasPath(jsonc.Join(s.objectPath, path+".idempotent"))
}

func (l *loader) checkJob(set *Set, s *objectSource) {
	job := s.job
	resolveReference(l, s, "spec.policy", KindPolicy, job.Policy, set.Policies)
	team := resolveReference(l, s, "spec.team", KindTeam, job.Team, set.Teams)
	pool := resolveReference(l, s, "spec.pool", KindPool, job.Pool, set.Pools)
	if s.gang != nil {
		l.checkGangRacks(s, pool)
	}
	if !s.fieldsValid("resources", "tasks") {
		return
	}
	l.checkResources(s)
	if pool != nil && l.pools[pool.Name].fieldsValid("largest") {
		l.checkTaskFits(s, pool)
	}
	if team != nil && l.teams[team.Name].fieldsValid("quota") {
		l.checkQuota(s, team)
	}
	if s.gang != nil && pool != nil && l.pools[pool.Name].fieldsValid("largest", "vms") {
		l.checkGangFits(s, pool)
	}
}

func (l *loader) checkResources(s *objectSource) {
	if s.job.Resources.MilliCores == 0 {
		l.addProblem(s, "spec.resources.cores", jsonc.RuleMissingField, `add cores, for example "500m"`, "a task needs some cores")
	}
	if s.job.Resources.MemoryMiB == 0 {
		l.addProblem(s, "spec.resources.memory", jsonc.RuleMissingField, `add memory, for example "1GiB"`, "a task needs some memory")
	}
}

func (l *loader) checkTaskFits(s *objectSource, pool *Pool) {
	if !s.job.Resources.Fits(pool.LargestVM) {
		l.addProblem(s, "spec.resources", RuleNeverFits, "lower the resources or use a pool with larger VMs",
			"a task needs %s, but the largest VM of pool %q has %s", s.job.Resources, pool.Name, pool.LargestVM)
	}
}

// checkQuota reports a job that exceeds the team's quota even when nothing else runs.
// A batch job needs quota for one task, a gang job for all of its tasks at once.
func (l *loader) checkQuota(s *objectSource, team *Team) {
	required := s.job.Resources
	if s.gang != nil {
		required = required.Scale(int64(s.job.Tasks))
	}
	if !required.Fits(zeroAsUnlimited(team.Quota)) {
		l.addProblem(s, "spec.team", RuleNeverFits, "raise the team's quota or lower tasks or resources",
			"%s must run at once, but the quota of team %q is %s", required, team.Name, team.Quota)
	}
}

func zeroAsUnlimited(v resource.Vector) resource.Vector {
	const unlimited = 1<<63 - 1
	for _, amount := range []*int64{&v.MilliCores, &v.MemoryMiB, &v.Accelerators, &v.Slots} {
		if *amount == 0 {
			*amount = unlimited
		}
	}
	return v
}

func (l *loader) checkGangRacks(s *objectSource, pool *Pool) {
	gang := s.gang
	if s.fieldsValid("tasks", "min_racks") && gang.MinRacks > gang.Tasks {
		l.addProblem(s, "spec.min_racks", RuleNeverFits, "lower min_racks or raise tasks",
			"%d tasks cannot be spread over %d racks", gang.Tasks, gang.MinRacks)
	}
	if pool == nil {
		return
	}
	if len(pool.Racks) > 0 && gang.MinRacks > len(pool.Racks) {
		l.addProblem(s, "spec.min_racks", RuleNeverFits, "lower min_racks or add racks to the pool",
			"pool %q selects %d racks, fewer than %d", pool.Name, len(pool.Racks), gang.MinRacks)
	}
	if l.pools[pool.Name].fieldsValid("vms") && pool.ExpectedVMs > 0 && gang.MinRacks > pool.ExpectedVMs {
		l.addProblem(s, "spec.min_racks", RuleNeverFits, "lower min_racks or use a larger pool",
			"pool %q has %d VMs, fewer than %d racks need", pool.Name, pool.ExpectedVMs, gang.MinRacks)
	}
}

func (l *loader) checkGangFits(s *objectSource, pool *Pool) {
	gang := s.gang
	if !gang.Resources.Fits(pool.LargestVM) || pool.ExpectedVMs == 0 {
		return
	}
	maxConcurrentTasks := tasksPerVM(gang.Resources, pool.LargestVM) * int64(pool.ExpectedVMs)
	if int64(gang.Tasks) > maxConcurrentTasks {
		l.addProblem(s, "spec.tasks", RuleNeverFits, "lower tasks or resources, or use a larger pool",
			"all %d tasks start together, but %d VMs of pool %q hold at most %d", gang.Tasks, pool.ExpectedVMs, pool.Name, maxConcurrentTasks)
	}
}

// tasksPerVM returns how many tasks fit on an empty VM, at most maxTasks.
func tasksPerVM(task, vm resource.Vector) int64 {
	count := int64(maxTasks)
	pairs := [][2]int64{
		{task.MilliCores, vm.MilliCores}, {task.MemoryMiB, vm.MemoryMiB},
		{task.Accelerators, vm.Accelerators}, {task.Slots, vm.Slots},
	}
	for _, pair := range pairs {
		if pair[0] > 0 {
			count = min(count, pair[1]/pair[0])
		}
	}
	return count
}

// requirePolicyFields reports required fields that a policy neither has nor inherits.
func (l *loader) requirePolicyFields(s *objectSource) {
	for _, field := range []string{"priority", "deadline"} {
		if !s.presentFields[field] {
			l.addProblem(s, "spec."+field, jsonc.RuleMissingField, fmt.Sprintf("add %q here or in a parent", field), "is required")
		}
	}
}

func (l *loader) checkPolicy(set *Set, s *objectSource) {
	p := s.policy
	resolveReference(l, s, "spec.parent", KindPolicy, p.Parent, set.Policies)
	if p.Checkpoint && !p.Preemptible {
		l.addProblem(s, "spec.checkpoint", RuleConflictingFields, "set preemptible or remove checkpoint",
			"checkpoint has no effect on work that is not preemptible")
	}
	if p.MaxRetries > 0 && !s.presentFields["retry_backoff"] {
		l.addProblem(s, "spec.retry_backoff", jsonc.RuleMissingField, `add "retry_backoff", for example "200ms"`,
			"is required with max_retries %d, because retries without backoff overload a failing worker", p.MaxRetries)
	}
	if s.presentFields["headroom"] && p.Headroom == 1 {
		l.addProblem(s, "spec.headroom", RuleNeverFits, "use less than 1",
			"work of this policy may use no part of any pool, so it can never run")
	}
}

// checkMinShares reports guaranteed shares that add up to more than the whole capacity.
func (l *loader) checkMinShares(policies []*objectSource) {
	total := 0.0
	for _, s := range policies {
		total += s.policy.MinShare
		if total > 1+1e-9 {
			l.addProblem(s, "spec.min_share", RuleConflictingFields, "lower min_share of some policies",
				"the policies up to %q guarantee %.2f of the capacity in total, more than 1", s.name, total)
			return
		}
	}
}

func (l *loader) checkPool(s *objectSource) {
	pool := s.pool
	if s.fieldsValid("vms") && pool.ExpectedVMs == 0 {
		l.addProblem(s, "spec.vms", RuleEmptyPool, "set the expected number of VMs", "the pool has no VM")
	}
	if s.fieldsValid("largest") && (pool.LargestVM.MilliCores == 0 || pool.LargestVM.MemoryMiB == 0) {
		l.addProblem(s, "spec.largest", RuleEmptyPool, "set cores and memory of the pool's largest VM",
			"no VM with %s can hold any work", pool.LargestVM)
	}
	if racks := len(pool.Racks); racks > 0 && pool.ExpectedVMs > 0 && racks > pool.ExpectedVMs {
		l.addProblem(s, "spec.racks", RuleEmptyPool, "raise vms or remove racks",
			"%d racks are selected, but only %d VMs are expected", racks, pool.ExpectedVMs)
	}
}
