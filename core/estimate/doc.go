// Package estimate learns the sizes and run times of a job template's tasks from
// lagged reports.
//
// The state per template is a few hundred bytes, whatever the number of tasks.
// The same reports in the same order give the same estimates.
package estimate
