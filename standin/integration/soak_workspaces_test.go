package integration

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"briarproxy/standin/platform"
)

// Workspaces of the soak test. One of them sends half of the jobs, and may use a third of the cell.
const (
	soakRevokeBound     = 2 * time.Second
	foreignCallInterval = 30 * time.Millisecond
	soakVisibleBound    = 3 * time.Second // by then, every daemon that is in touch knows an accepted job
	hotWorkspace        = "hot"
)

var (
	hotMaximum     = platform.Size{Cpu: 64000}
	soakWorkspaces = []platform.Workspace{
		{Name: hotWorkspace, Keys: []string{"hot-first", "hot-second"}, Weight: 2, Maximum: hotMaximum},
		{Name: "steady", Keys: []string{"steady-first", "steady-second"}, Weight: 20},
		{Name: "small", Keys: []string{"small-first"}, Weight: 5},
	}
)

// soakWorkspaceOf returns the workspace of a job of the soak test, whose id is a number.
func soakWorkspaceOf(job string) string {
	number, err := strconv.ParseUint(job, 16, 64)
	if err != nil {
		panic(err)
	}
	return []string{hotWorkspace, "steady", hotWorkspace, "small"}[number%4]
}

// foreignKeys changes keys and maxima during a soak test, and calls daemons with keys that must not work:
// keys that were taken away, and keys of other workspaces than that of the job.
type foreignKeys struct {
	soak       *soakTest
	rng        *rand.Rand // of the test's goroutine
	nextChange time.Time
	stop       chan struct{}
	stopped    sync.WaitGroup

	mu         sync.Mutex
	revoked    []string // keys that were taken away; each begins with the name of its workspace
	refused    int
	ranInTime  int // calls that ran with a revoked key within the bound
	violations []string
}

// useForeignKeys starts a caller with such keys.
func (s *soakTest) useForeignKeys(seed uint64) *foreignKeys {
	k := &foreignKeys{soak: s, rng: rand.New(rand.NewPCG(seed, 4)), nextChange: time.Now().Add(time.Second), stop: make(chan struct{})}
	k.stopped.Go(func() { k.call(rand.New(rand.NewPCG(seed, 5))) })
	return k
}

// change makes a change of the configuration if one is due. The records of the topic expire at times.
func (k *foreignKeys) change(now time.Time) {
	if now.Before(k.nextChange) {
		return
	}
	k.nextChange = now.Add(time.Duration(500+k.rng.IntN(2500)) * time.Millisecond)
	switch kind := k.rng.IntN(6); kind {
	case 0, 1, 2:
		workspace := soakWorkspaces[kind].Name
		key := k.soak.operator.Revoke(workspace)
		k.soak.logFault("key of %s revoked", workspace)
		k.mu.Lock()
		k.revoked = append(k.revoked, key)
		k.mu.Unlock()
	case 3:
		k.soak.logFault("records of the configuration expired")
		k.soak.store.Expire("keyed.op", 0)
	default:
		maximum := platform.Size{Cpu: hotMaximum.Cpu / int64(1+k.rng.IntN(4))}
		k.soak.logFault("maximum of %s is %d", hotWorkspace, maximum.Cpu)
		k.soak.operator.SetMaximum(hotWorkspace, maximum)
		k.soak.fleet.SetMaximum(hotWorkspace, maximum)
	}
}

// call asks for accepted jobs and repeats their submissions until the end of the test.
func (k *foreignKeys) call(rng *rand.Rand) {
	body := map[string]any{"Spec": "foreign", "Steps": []any{map[string]any{"Count": 1, "Cpu": 500}}}
	for n := 0; ; n++ {
		select {
		case <-k.stop:
			return
		case <-time.After(foreignCallInterval):
		}
		job, ok := k.soak.anyAcceptedJob(rng)
		if !ok {
			continue
		}
		workspace := soakWorkspaceOf(job)
		key, otherWorkspace := k.anyRevokedKey(rng), n%4 == 0
		if other := soakWorkspaces[rng.IntN(len(soakWorkspaces))].Name; otherWorkspace && other != workspace {
			key = k.soak.operator.Key(other)
		} else if otherWorkspace || key == "" {
			continue
		}
		method := []string{http.MethodGet, http.MethodPost}[rng.IntN(2)]
		sentAt := time.Now()
		status, _ := callAddress(k.soak.callerAddress(rng.IntN(soakDaemonCount)), method, job, key, body)
		k.judge(fmt.Sprintf("%s %s of %s with %s", method, job, workspace, key), key, otherWorkspace, sentAt, status)
	}
}

// judge records the answer to a call.
func (k *foreignKeys) judge(call, key string, otherWorkspace bool, sentAt time.Time, status int) {
	revokedAt, revoked := k.soak.operator.RevokedAt(key)
	k.mu.Lock()
	defer k.mu.Unlock()
	switch ran := status == http.StatusOK; {
	case !ran && status != 0:
		k.refused++
	case ran && otherWorkspace:
		k.violations = append(k.violations, call+" ran")
	case ran && revoked && sentAt.Sub(revokedAt) > soakRevokeBound:
		k.violations = append(k.violations, fmt.Sprintf("%s ran %s after the key was taken away", call, sentAt.Sub(revokedAt)))
	case ran:
		k.ranInTime++
	}
}

func (k *foreignKeys) anyRevokedKey(rng *rand.Rand) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.revoked) == 0 {
		return ""
	}
	return k.revoked[len(k.revoked)-1-rng.IntN(min(2, len(k.revoked)))]
}

// anyAcceptedJob returns the id of a job that was accepted soakVisibleBound ago or earlier, and false if
// there is none yet.
func (s *soakTest) anyAcceptedJob(rng *rand.Rand) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := 0
	for visible < len(s.acceptedAt) && time.Since(s.acceptedAt[visible]) >= soakVisibleBound {
		visible++
	}
	if visible == 0 {
		return "", false
	}
	return s.accepted[rng.IntN(visible)], true
}

// check ends the calls, raises the maximum again and fails the test if a call ran that must not.
func (k *foreignKeys) check() {
	close(k.stop)
	k.stopped.Wait()
	k.soak.fleet.SetMaximum(hotWorkspace, hotMaximum)
	k.soak.operator.SetMaximum(hotWorkspace, hotMaximum)
	k.soak.t.Logf("%d calls with foreign keys were refused, %d ran within the bound after the key was taken away", k.refused, k.ranInTime)
	require.Positive(k.soak.t, k.refused)
	require.Empty(k.soak.t, k.violations)
}
