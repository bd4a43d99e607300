// Package chart interprets state charts that are read from embedded JSON files.
// Each chart names, for each state, the events that move it and the events that are
// refused on purpose, with the reason.
package chart
