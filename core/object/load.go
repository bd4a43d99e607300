package object

import (
	"sort"
	"strings"

	"briarproxy/core/jsonc"
)

// source is one object as it stands in a file.
type source struct {
	file   string
	reader *jsonc.Reader
	prefix string // path of the object in its file
	kind   Kind
	name   string
	fields map[string]bool // fields that the spec sets; used for inheritance
	faulty map[string]bool // fields of the spec with an issue; their values are not used in further checks

	service *Service
	job     *JobTemplate // of a batch or gang job
	batch   *BatchJob
	gang    *GangJob
	policy  *Policy
	pool    *Pool
	team    *Team
}

// loader collects the objects and problems of a set.
type loader struct {
	sources  []*source
	pools    map[string]*source
	teams    map[string]*source
	problems []Problem
}

// Load reads object files, by file name, and checks the whole set. It returns
// every problem of the set at once. The set is nil if there is any problem.
func Load(files map[string][]byte) (*Set, []Problem) {
	l := &loader{pools: map[string]*source{}, teams: map[string]*source{}}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		l.readFile(name, files[name])
	}
	set := l.collect()
	l.inherit(set)
	l.check(set)
	if len(l.problems) > 0 {
		sortProblems(l.problems)
		return nil, l.problems
	}
	return set, nil
}

func (l *loader) readFile(file string, data []byte) {
	r, root, ok := jsonc.Parse(data)
	switch {
	case !ok:
		l.take(&source{file: file, reader: r})
	case root.IsList():
		r.Elements(root, func(_ int, n jsonc.Node) { l.readObject(file, r, n) })
	default:
		l.readObject(file, r, root)
	}
}

// take moves the reader's issues to the problems of the set.
func (l *loader) take(s *source) {
	for _, issue := range s.reader.Issues {
		l.problems = append(l.problems, Problem{
			File: s.file, Line: issue.Line, Kind: s.kind, Object: s.name,
			Field: s.relative(issue.Path), Rule: issue.Rule,
			Message: issue.Message, Remedy: issue.Remedy,
		})
	}
	s.reader.Issues = nil
}

// relative strips the path of the object from a path of the file.
func (s *source) relative(path string) string {
	if s.prefix != "" && len(path) > len(s.prefix) && path[:len(s.prefix)] == s.prefix {
		return path[len(s.prefix)+1:]
	}
	if path == s.prefix {
		return ""
	}
	return path
}

// add records a problem of the object at a field path within it.
func (l *loader) add(s *source, field string, rule jsonc.Rule, remedy, format string, args ...any) {
	path := s.prefix
	if field != "" {
		path = jsonc.Join(s.prefix, field)
	}
	n := jsonc.Node{Path: path, Line: s.reader.Line(path)}
	s.reader.Add(n, rule, remedy, format, args...)
	l.take(s)
}

// readObject reads the envelope first, so that problems of the spec carry the
// object's kind and name whatever the order of the members.
func (l *loader) readObject(file string, r *jsonc.Reader, n jsonc.Node) {
	s := &source{file: file, reader: r, prefix: n.Path, fields: map[string]bool{}, faulty: map[string]bool{}}
	var kind string
	var spec *jsonc.Node
	known := r.Object(n, []jsonc.Field{
		{Name: "kind", Required: true, Read: jsonc.OneOf(&kind, kindNames()...)},
		{Name: "name", Required: true, Read: jsonc.Name(&s.name)},
		{Name: "spec", Required: true, Read: func(_ *jsonc.Reader, n jsonc.Node) { spec = &n }},
	})
	s.kind = Kind(kind)
	for i := range r.Issues {
		if r.Issues[i].Rule == jsonc.RuleUnknownValue {
			r.Issues[i].Rule = RuleUnknownKind
		}
	}
	fields, isKind := s.specFields()
	if known && isKind && spec != nil {
		s.noteFields(*spec)
		r.Object(*spec, fields)
		s.noteFaulty()
		l.sources = append(l.sources, s)
	}
	l.take(s)
}

// noteFields remembers which fields the spec sets.
func (s *source) noteFields(spec jsonc.Node) {
	for _, name := range spec.MemberNames() {
		s.fields[name] = true
	}
}

// noteFaulty remembers which fields of the spec have an issue.
func (s *source) noteFaulty() {
	for _, issue := range s.reader.Issues {
		field, found := strings.CutPrefix(s.relative(issue.Path), "spec.")
		if !found {
			continue
		}
		if end := strings.IndexAny(field, ".["); end >= 0 {
			field = field[:end]
		}
		s.faulty[field] = true
	}
}

// sound reports whether none of the fields of the spec has an issue. Checks that
// combine values skip faulty ones, so that one mistake is reported once.
func (s *source) sound(fields ...string) bool {
	for _, field := range fields {
		if s.faulty[field] {
			return false
		}
	}
	return true
}

func kindNames() []string {
	return []string{
		string(KindService), string(KindBatchJob), string(KindGangJob),
		string(KindPolicy), string(KindPool), string(KindTeam),
	}
}

// collect puts the objects into a set and reports names that occur twice. Batch
// and gang jobs share one name space, because callers submit both by name only.
func (l *loader) collect() *Set {
	set := newSet()
	first := map[string]*source{}
	kept := l.sources[:0]
	for _, s := range l.sources {
		space := string(s.kind)
		if s.job != nil {
			space = "job"
		}
		if other, taken := first[space+"/"+s.name]; taken {
			l.add(s, "name", RuleDuplicate, "rename or remove one of them",
				"%s %q is defined already in %s line %d", other.kind, s.name, other.file, other.reader.Line(other.prefix))
			continue
		}
		first[space+"/"+s.name] = s
		l.put(set, s)
		kept = append(kept, s)
	}
	l.sources = kept
	return set
}

func newSet() *Set {
	return &Set{
		Services: map[string]*Service{}, BatchJobs: map[string]*BatchJob{}, GangJobs: map[string]*GangJob{},
		Policies: map[string]*Policy{}, Pools: map[string]*Pool{}, Teams: map[string]*Team{},
	}
}

func (l *loader) put(set *Set, s *source) {
	switch s.kind {
	case KindService:
		s.service.Name = s.name
		set.Services[s.name] = s.service
	case KindBatchJob:
		s.job.Name = s.name
		set.BatchJobs[s.name] = s.batch
	case KindGangJob:
		s.job.Name = s.name
		set.GangJobs[s.name] = s.gang
	case KindPolicy:
		s.policy.Name = s.name
		set.Policies[s.name] = s.policy
	case KindPool:
		s.pool.Name = s.name
		set.Pools[s.name] = s.pool
		l.pools[s.name] = s
	case KindTeam:
		s.team.Name = s.name
		set.Teams[s.name] = s.team
		l.teams[s.name] = s
	}
}
