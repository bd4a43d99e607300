// Package place decides which worker of one owner runs which task.
//
// A Cell is the state of the owner's workers. Plan reads it and returns a plan
// without changing it; Commit verifies the plan against the state of that moment
// and refuses what does not fit any more. An index by pool, data centre,
// accelerator class and free capacity bounds the number of workers that a
// decision looks at. The index never hides a worker that fits: a search that
// found nothing within its bounds is repeated over every worker whose bucket can
// hold the request.
//
// A Cell is not safe for concurrent use; its owner is one goroutine.
package place
