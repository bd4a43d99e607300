// Package estimate estimates the resource use and run time of a job template's tasks
// from usage reports, which arrive with a lag.
//
// The state of a template takes about 1,100 bytes, independent of the number of its
// tasks.
// The same reports in the same order give the same estimates.
package estimate
