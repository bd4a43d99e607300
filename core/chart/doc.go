// Package chart interprets state charts that are loaded from embedded JSON files. For each
// state, a chart lists the transitions by event, and the events that are refused on purpose with
// the reason.
package chart
