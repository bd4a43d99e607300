// Package metric collects the daemon's Prometheus metrics. Metric names end in their
// unit, and each label has a bounded number of values.
package metric
