package object

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"briarproxy/core/fault"
	"briarproxy/core/resource"
)

const baseObjects = `[
{"kind": "pool", "name": "p", "spec": {"largest": {"cores": "4", "memory": "8GiB", "slots": 8}, "vms": 2}},
{"kind": "team", "name": "t", "spec": {"quota": {"cores": "6"}}},
{"kind": "policy", "name": "safe", "spec": {"priority": 10, "deadline": "10s"}}, // no retries
{"kind": "policy", "name": "retry", "spec": {"parent": "safe", "max_retries": 2, "retry_backoff": "100ms"}},
]`

const gangJob = `{"kind": "gang-job", "name": "g", "spec": {"pool": "p", "policy": "safe", "team": "t", "operation": "op",
 "run_time": "1m", "resources": {"cores": "500m", "memory": "1GiB"}, "tasks": 2}}`

const service = `{"kind": "service", "name": "s", "spec": {"pool": "p", "team": "t", "operations": {
 "issue": {"policy": "safe", "idempotent": false, "run_time": "1s", "max_run_time": "5s"}}}}`

func loadWithBase(text string) (*Set, []Problem) {
	return Load(map[string][]byte{"base.jsonc": []byte(baseObjects), "x.jsonc": []byte(text)})
}

// Guards against wrong units, defaults or inherited fields.
func TestLoadReadsUnitsDefaultsAndParents(t *testing.T) {
	set, problems := loadWithBase("[" + gangJob + "," + service + "]")
	require.Empty(t, problems)
	assert.Equal(t, resource.Vector{MilliCores: 500, MemoryMiB: 1024}, set.GangJobs["g"].Resources)
	assert.Equal(t, resource.Vector{MilliCores: 4000, MemoryMiB: 8192, Slots: 8}, set.Pools["p"].LargestVM)
	assert.True(t, set.Pools["p"].Fencing)
	assert.Equal(t, defaultMaxAttempts, set.GangJobs["g"].MaxAttempts)
	assert.Equal(t, int64(defaultMaxBodyBytes), set.Services["s"].MaxBodyBytes)
	assert.Equal(t, 5*time.Second, set.Services["s"].Operations["issue"].MaxRunTime)
	assert.Equal(t, 10, set.Policies["retry"].Priority)
	assert.Equal(t, 10*time.Second, set.Policies["retry"].Deadline)
}

// Guards against an error in the input that is accepted, is reported at the wrong
// location, or hides another error. Each case lists all problems that are expected.
func TestLoadReportsExactProblems(t *testing.T) {
	cases := []struct {
		name, text string
		want       []string // Each entry is rule, line and field.
	}{
		{"syntax", "{\n\"kind\" 1}", []string{"syntax 2 "}},
		{"trailing data", service + " {}", []string{"syntax 2 "}},
		{"too deep", strings.Repeat("[", 100), []string{"syntax 1 "}},
		{"no object", "[1]", []string{"wrong-type 1 "}},
		{"unknown kind", `{"kind": "servise", "name": "a", "spec": {}}`, []string{"unknown-kind 1 kind"}},
		{"missing envelope", `{}`, []string{"missing-field 1 kind", "missing-field 1 name", "missing-field 1 spec"}},
		{"empty service", "{\"kind\": \"service\", \"name\": \"a\",\n\"spec\": {\"operations\": {}}}",
			[]string{"out-of-range 2 spec.operations", "missing-field 2 spec.pool", "missing-field 2 spec.team"}},
		{"unknown and repeated", replaceOnce(gangJob, `"tasks": 2`, "\"taks\": 2,\n\"pool\": \"p\""),
			[]string{"unknown-field 2 spec.taks", "repeated-field 3 spec.pool"}},
		{"wrong types and units", replaceOnce(gangJob, `"cores": "500m", "memory": "1GiB"`, `"cores": 2, "memory": "1GB", "slots": 1.5`),
			[]string{"wrong-type 2 spec.resources.cores", "wrong-unit 2 spec.resources.memory", "wrong-type 2 spec.resources.slots"}},
		{"duration without unit", replaceOnce(gangJob, `"1m"`, `"60"`), []string{"wrong-unit 2 spec.run_time"}},
		{"null", replaceOnce(gangJob, `"1m"`, `null`), []string{"wrong-type 2 spec.run_time"}},
		{"negative", replaceOnce(gangJob, `"tasks": 2`, `"tasks": -1`), []string{"out-of-range 2 spec.tasks"}},
		{"bad name", replaceOnce(gangJob, `"g"`, `"G_1"`), []string{"out-of-range 1 name"}},
		{"dangling", replaceOnce(replaceOnce(replaceOnce(gangJob, `"p"`, `"px"`), `"safe"`, `"sefe"`), `"t"`, `"nobody"`),
			[]string{"dangling-reference 1 spec.policy", "dangling-reference 1 spec.pool", "dangling-reference 1 spec.team"}},
		{"duplicate name", "[" + gangJob + ",\n" + replaceOnce(gangJob, "gang-job", "batch-job") + "]", []string{"duplicate-name 3 name"}},
		{"cycle", `[{"kind": "policy", "name": "a", "spec": {"parent": "b", "priority": 1, "deadline": "1s"}},
			{"kind": "policy", "name": "b", "spec": {"parent": "c"}}, {"kind": "policy", "name": "c", "spec": {"parent": "a"}}]`,
			[]string{"cyclic-reference 1 spec.parent"}},
		{"own parent", `{"kind": "policy", "name": "a", "spec": {"parent": "a", "priority": 1, "deadline": "1s"}}`,
			[]string{"cyclic-reference 1 spec.parent"}},
		{"no deadline anywhere", `{"kind": "policy", "name": "a", "spec": {"priority": 1}}`, []string{"missing-field 1 spec.deadline"}},
		{"empty pool", `{"kind": "pool", "name": "a", "spec": {"largest": {"cores": "4"}, "vms": 0}}`,
			[]string{"empty-pool 1 spec.largest", "empty-pool 1 spec.vms"}},
		{"task too large", replaceOnce(gangJob, `"1GiB"`, `"9GiB"`), []string{"never-fits 2 spec.resources"}},
		{"gang exceeds quota", replaceOnce(gangJob, `"tasks": 2`, `"tasks": 13`), []string{"never-fits 1 spec.team"}},
		{"gang exceeds pool", replaceOnce(replaceOnce(gangJob, `"tasks": 2`, `"tasks": 4`), `"1GiB"`, `"5GiB"`), []string{"never-fits 2 spec.tasks"}},
		{"gang exceeds racks", replaceOnce(gangJob, `"tasks": 2`, `"tasks": 2, "min_racks": 3`),
			[]string{"never-fits 2 spec.min_racks", "never-fits 2 spec.min_racks"}},
		{"no resources", replaceOnce(gangJob, `"cores": "500m", "memory": "1GiB"`, ``),
			[]string{"missing-field 2 spec.resources.cores", "missing-field 2 spec.resources.memory"}},
		{"retry of an operation that is not idempotent", replaceOnce(service, `"safe"`, `"retry"`), []string{"unsafe-retry 2 spec.operations.issue.policy"}},
		{"run time exceeds limit and deadline", replaceOnce(service, `"1s"`, `"11s"`),
			[]string{"conflicting-fields 2 spec.operations.issue.max_run_time", "never-fits 2 spec.operations.issue.policy"}},
		{"retries without backoff", `{"kind": "policy", "name": "a", "spec": {"priority": 1, "deadline": "1s", "max_retries": 1, "checkpoint": true, "headroom": 1}}`,
			[]string{"conflicting-fields 1 spec.checkpoint", "never-fits 1 spec.headroom", "missing-field 1 spec.retry_backoff"}},
		{"minimum shares above 1", `[{"kind": "policy", "name": "a", "spec": {"priority": 1, "deadline": "1s", "min_share": 0.6}},
			{"kind": "policy", "name": "b", "spec": {"parent": "a"}}]`, []string{"conflicting-fields 2 spec.min_share"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set, problems := loadWithBase(c.text)
			assert.Nil(t, set)
			var got []string
			for _, p := range problems {
				assert.Equal(t, "x.jsonc", p.File)
				assert.NotEmpty(t, p.Remedy)
				got = append(got, fmt.Sprintf("%s %d %s", p.Rule, p.Line, p.Field))
			}
			assert.Equal(t, c.want, got, "%v", problems)
		})
	}
}

// Guards against a cycle that is missed, or reported for policies outside of it. The
// test compares random parents with a search that follows the parents of each policy.
func TestCyclesAgainstReferenceSearch(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	totalCycles := 0
	for range 300 {
		n := 1 + random.Intn(6)
		parents := make([]int, n) // The value n means no parent.
		var text strings.Builder
		for i := range parents {
			parents[i] = random.Intn(n + 1)
			parent := ""
			if parents[i] < n {
				parent = fmt.Sprintf(`"parent": "p%d", `, parents[i])
			}
			fmt.Fprintf(&text, `{"kind": "policy", "name": "p%d", "spec": {%s"priority": 1, "deadline": "1s"}},`, i, parent)
		}
		cycles := map[int]bool{} // A cycle is identified by its smallest member.
		for i := range parents {
			smallest, current := i, parents[i]
			for steps := 0; current < n && current != i && steps < n; steps++ {
				smallest, current = min(smallest, current), parents[current]
			}
			if current == i {
				cycles[smallest] = true
			}
		}
		_, problems := loadWithBase("[" + text.String() + "]")
		require.Len(t, problems, len(cycles), text.String())
		for _, p := range problems {
			require.Equal(t, RuleCyclicReference, p.Rule)
		}
		totalCycles += len(cycles)
	}
	assert.Positive(t, totalCycles)
}

// Guards against results that depend on the iteration order of maps or files.
func TestLoadIsDeterministic(t *testing.T) {
	text := "[" + replaceOnce(gangJob, `"p"`, `"q"`) + "," + replaceOnce(service, `"issue"`, `"a": {}, "b": {}, "c": 1, "issue"`) + "]"
	_, first := loadWithBase(text)
	require.Len(t, first, 10)
	for range 20 {
		_, again := loadWithBase(text)
		require.Equal(t, first, again)
	}
}

// Guards against messages without the suggested name or the location.
func TestProblemsNameTheRemedy(t *testing.T) {
	_, problems := loadWithBase(replaceOnce(gangJob, `"tasks": 2`, `"taks": 2`))
	require.Len(t, problems, 1)
	assert.Equal(t, `x.jsonc:2: gang-job "g": spec.taks: is not a known field (did you mean "tasks"?)`, problems[0].String())
	assert.True(t, fault.Is(ProblemsError(problems), fault.Invalid))
	assert.NoError(t, ProblemsError(nil))
}

// Guards against an encoding that is not canonical or loses fields, and against a
// release that reads a set with fields it does not know.
func TestEncodeDecode(t *testing.T) {
	set, _ := loadWithBase("[" + gangJob + "," + service + "]")
	data, err := Encode(set)
	require.NoError(t, err)
	decoded, err := Decode(data)
	require.NoError(t, err)
	assert.Equal(t, set, decoded)
	encodedAgain, _ := Encode(decoded)
	assert.Equal(t, data, encodedAgain)
	for _, invalid := range []string{"", "null", "{}x", `{"teams":{"a":null}}`, `{"teams":null}`, replaceOnce(string(data), `"vms"`, `"wms"`)} {
		_, err := Decode([]byte(invalid))
		assert.True(t, fault.Is(err, fault.Invalid), invalid)
	}
}

// Guards against a change that Diff omits, so that a reviewer does not see it before
// publication.
func TestDiff(t *testing.T) {
	from, _ := loadWithBase("[" + gangJob + "," + service + "]")
	to, problems := loadWithBase(replaceOnce(service, `"5s"`, `"6s"`) + "")
	require.Empty(t, problems)
	d := Diff(from, to)
	assert.Equal(t, Difference{
		Removed: []Ref{{KindGangJob, "g"}},
		Changed: []Change{{Ref{KindService, "s"}, []FieldChange{{"operations.issue.max_run_time", "5s", "6s"}}}},
	}, d)
	assert.True(t, Diff(to, to).Empty())
	assert.Len(t, Diff(nil, to).Added, 5)
}

// Guards against a delta that does not reproduce the new set, modifies its base, or
// applies to a base that it was not computed from.
func TestDelta(t *testing.T) {
	first, _ := loadWithBase("[" + gangJob + "," + service + "]")
	second, problems := loadWithBase(replaceOnce(service, `"5s"`, `"6s"`))
	require.Empty(t, problems)
	for _, c := range [][2]*Set{{first, second}, {second, first}, {newSet(), first}, {first, newSet()}, {first, first}} {
		before, _ := Encode(c[0])
		d := DeltaOf(c[0], c[1])
		got, err := d.Apply(c[0])
		require.NoError(t, err)
		assert.Equal(t, c[1], got)
		after, _ := Encode(c[0])
		assert.Equal(t, before, after)
	}
	d := DeltaOf(first, second)
	assert.Equal(t, []Ref{{KindGangJob, "g"}}, d.Remove)
	assert.Len(t, d.Put.Services, 1)
	assert.Empty(t, d.Put.Pools)
	_, err := d.Apply(second)
	assert.True(t, fault.Is(err, fault.Invalid))
}

// Guards against panics, against a set that is returned together with problems, and
// against a set that changes when it is encoded and decoded.
func FuzzLoad(f *testing.F) {
	seeds, err := filepath.Glob("testdata/seeds/*.jsonc")
	require.NoError(f, err)
	for _, name := range seeds {
		data, err := os.ReadFile(name)
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		set, problems := Load(map[string][]byte{"f": data})
		require.Equal(t, len(problems) == 0, set != nil)
		if set == nil {
			return
		}
		encoded, err := Encode(set)
		require.NoError(t, err)
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		require.True(t, Diff(set, decoded).Empty())
	})
}

func replaceOnce(text, from, to string) string { return strings.Replace(text, from, to, 1) }
