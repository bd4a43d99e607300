// Package platform is a small stand-in of the users' platform for tests: its store (a log
// with keyed topics), workers that run tasks under leases, and the advice service. It
// speaks the published protocol over HTTP and checks, as it goes, that no worker is
// given more than it holds, that no task runs twice at a time or again after it was
// done, and that only granted workers run a step.
package platform

// Host and path of the queue that make demo uses.
const (
	DemoHost = "jobs.example"
	DemoPath = "/jobs/"
)
