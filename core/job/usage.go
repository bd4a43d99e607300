package job

import "briarproxy/core/resource"

// Use is what the tasks of one team use and wait for.
type Use struct {
	Used    resource.Vector // tasks that have room, or may have
	Waiting resource.Vector // tasks that are ready for room
}

// Usage adds up the tasks of the teams that count accepts. It costs O(open tasks).
func (s *Shard) Usage(count func(team string) bool) map[string]Use {
	uses := map[string]Use{}
	for _, j := range s.jobs {
		if j.open == 0 || !count(j.Definition.Team) {
			continue
		}
		use := uses[j.Definition.Team]
		for i := range j.Tasks {
			switch p := j.Tasks[i].Phase; {
			case p == Pending:
				use.Waiting = use.Waiting.Add(j.Definition.Resources)
			case !p.Final():
				use.Used = use.Used.Add(j.Definition.Resources)
			}
		}
		uses[j.Definition.Team] = use
	}
	return uses
}
