// Package flow holds the replicated state of a cell's jobs, rebuilt from the log. A job has
// steps and occurrences; for each task, the state records the last run that the placer began
// and how that run ended.
//
// Every daemon applies the same records in the same order and therefore reaches the same
// state. Only the first submission of a job id takes effect, so a caller may retry it through
// any daemon. The log fences appends of a superseded placer. As a second safeguard, Apply
// ignores records that contradict the state and returns an error for them.
package flow
