// Package place assigns tasks to the workers that one scheduler instance is
// responsible for.
//
// A Cell holds the state of these workers. Plan computes a plan and leaves the
// state as it was; Commit checks the plan against the current state and refuses
// what no longer fits. An index by pool, data centre, presence of accelerators and
// free capacity bounds the number of workers that a decision examines. The bounds
// never cause a refusal: a search that finds nothing within them is repeated over
// every worker whose bucket may fit the request.
//
// A Cell is not safe for concurrent use; one goroutine owns it.
package place
