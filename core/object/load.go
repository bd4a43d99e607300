package object

import (
	"sort"
	"strings"

	"briarproxy/core/jsonc"
)

// objectSource is an object with the location in a file from which it was read.
type objectSource struct {
	file          string
	reader        *jsonc.Reader
	objectPath    string // objectPath is the path of the object within its file.
	kind          Kind
	name          string
	presentFields map[string]bool // presentFields holds the fields that the spec has or inherits.
	invalidFields map[string]bool // invalidFields holds the fields of the spec that have an issue; later checks ignore their values.

	service *Service
	job     *JobTemplate // job is the common part of a batch or gang job.
	batch   *BatchJob
	gang    *GangJob
	policy  *Policy
	pool    *Pool
	team    *Team
}

// loader collects the objects of a set and their problems.
type loader struct {
	sources  []*objectSource
	pools    map[string]*objectSource
	teams    map[string]*objectSource
	problems []Problem
}

// Load reads object files, keyed by file name, and validates the whole set. It
// returns all problems of the set at once; if there is any, the set is nil.
func Load(files map[string][]byte) (*Set, []Problem) {
	l := &loader{pools: map[string]*objectSource{}, teams: map[string]*objectSource{}}
	names := make([]string, 0, len(files))
	for name := range files {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		l.readFile(name, files[name])
	}
	set := l.buildSet()
	l.inheritPolicyFields(set)
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
		l.collectIssues(&objectSource{file: file, reader: r})
	case root.IsList():
		r.ReadElements(root, func(_ int, n jsonc.Node) { l.readObject(file, r, n) })
	default:
		l.readObject(file, r, root)
	}
}

// collectIssues moves the reader's issues to the problems of the set.
func (l *loader) collectIssues(s *objectSource) {
	for _, issue := range s.reader.Issues {
		l.problems = append(l.problems, Problem{
			File: s.file, Line: issue.Line, Kind: s.kind, Object: s.name,
			Field: s.relativePath(issue.Path), Rule: issue.Rule,
			Message: issue.Message, Remedy: issue.Remedy,
		})
	}
	s.reader.Issues = nil
}

// relativePath returns a path of the file relative to the object.
func (s *objectSource) relativePath(path string) string {
	if s.objectPath != "" && len(path) > len(s.objectPath) && path[:len(s.objectPath)] == s.objectPath {
		return path[len(s.objectPath)+1:]
	}
	if path == s.objectPath {
		return ""
	}
	return path
}

// addProblem records a problem at a field path within the object.
func (l *loader) addProblem(s *objectSource, field string, rule jsonc.Rule, remedy, format string, args ...any) {
	path := s.objectPath
	if field != "" {
		path = jsonc.Join(s.objectPath, field)
	}
	n := jsonc.Node{Path: path, Line: s.reader.Line(path)}
	s.reader.AddIssue(n, rule, remedy, format, args...)
	l.collectIssues(s)
}

// readObject reads kind and name before the spec, so that problems of the spec carry
// them regardless of the order of the members in the file.
func (l *loader) readObject(file string, r *jsonc.Reader, n jsonc.Node) {
	s := &objectSource{file: file, reader: r, objectPath: n.Path, presentFields: map[string]bool{}, invalidFields: map[string]bool{}}
	var kind string
	var spec *jsonc.Node
	isObject := r.ReadObject(n, []jsonc.Field{
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
	fields, knownKind := s.specFields()
	if isObject && knownKind && spec != nil {
		s.recordPresentFields(*spec)
		r.ReadObject(*spec, fields)
		s.recordInvalidFields()
		l.sources = append(l.sources, s)
	}
	l.collectIssues(s)
}

// recordPresentFields records which fields the spec has.
func (s *objectSource) recordPresentFields(spec jsonc.Node) {
	for _, name := range spec.MemberNames() {
		s.presentFields[name] = true
	}
}

// recordInvalidFields records which top-level fields of the spec have an issue.
func (s *objectSource) recordInvalidFields() {
	for _, issue := range s.reader.Issues {
		field, found := strings.CutPrefix(s.relativePath(issue.Path), "spec.")
		if !found {
			continue
		}
		if end := strings.IndexAny(field, ".["); end >= 0 {
			field = field[:end]
		}
		s.invalidFields[field] = true
	}
}

// fieldsValid reports whether none of the given fields of the spec has an issue.
// Checks that combine several values skip invalid ones, so that a mistake is reported
// only once.
func (s *objectSource) fieldsValid(fields ...string) bool {
	for _, field := range fields {
		if s.invalidFields[field] {
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

// buildSet adds the objects to a set and reports duplicate names. Batch and gang jobs
// share a namespace, because callers submit both by name only.
func (l *loader) buildSet() *Set {
	set := newSet()
	first := map[string]*objectSource{}
	unique := l.sources[:0]
	for _, s := range l.sources {
		namespace := string(s.kind)
		if s.job != nil {
			namespace = "job"
		}
		if other, exists := first[namespace+"/"+s.name]; exists {
			l.addProblem(s, "name", RuleDuplicateName, "rename or remove one of them",
				"%s %q is defined already in %s line %d", other.kind, s.name, other.file, other.reader.Line(other.objectPath))
			continue
		}
		first[namespace+"/"+s.name] = s
		l.addToSet(set, s)
		unique = append(unique, s)
	}
	l.sources = unique
	return set
}

func newSet() *Set {
	return &Set{
		Services: map[string]*Service{}, BatchJobs: map[string]*BatchJob{}, GangJobs: map[string]*GangJob{},
		Policies: map[string]*Policy{}, Pools: map[string]*Pool{}, Teams: map[string]*Team{},
	}
}

func (l *loader) addToSet(set *Set, s *objectSource) {
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
