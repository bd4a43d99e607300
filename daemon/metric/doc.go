// Package metric collects the daemon's Prometheus metrics. Names end in their
// unit, and each label has a bounded number of values.
package metric
