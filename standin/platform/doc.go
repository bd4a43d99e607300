// Package platform simulates the users' platform in tests: its store (a log with keyed
// topics), workers that run tasks under leases, and the advice service. It speaks the
// published protocol over HTTP. It checks that no worker gets more tasks than its capacity
// allows, that no task runs twice at a time or again after it has completed, and that only
// workers granted by the advice service run a step.
package platform

// Host and path prefix of the queue that "make demo" uses.
const (
	DemoHost = "jobs.example"
	DemoPath = "/jobs/"
)

// Workspaces of "make demo". The greedy one sends more than it may run at a time.
const (
	DemoWorkspace       = "inspectors"
	DemoGreedyWorkspace = "greedy"
)

// DemoWorkspaces returns the workspaces of "make demo".
func DemoWorkspaces() []Workspace {
	return []Workspace{
		{Name: DemoWorkspace, Keys: []string{"inspectors-former-key", "inspectors-key"}, Weight: 30},
		{Name: DemoGreedyWorkspace, Keys: []string{"greedy-key"}, Weight: 5, Maximum: Size{Cpu: 96000}},
	}
}
