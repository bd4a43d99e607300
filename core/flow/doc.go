// Package flow holds the jobs of a cell as the log tells them: jobs of steps, their
// occurrences, and for each task which run the placer last began and how it ended.
//
// Every daemon applies the same records in the same order and so answers the same. The
// first submission of an id counts, so that a caller may repeat it through any daemon.
// Records of a placer whose claim was superseded never reach the log, because the log
// fences their appends; Apply ignores what contradicts the state all the same and
// returns an error for it.
package flow
