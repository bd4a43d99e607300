// Package quarantine distinguishes faulty workers from faulty tasks. A worker on which
// consecutive starts of tasks of different job templates fail is isolated and probed
// with exponential backoff. A task that fails on workers in different racks is itself
// considered faulty, and its failures do not count against workers. The same holds for
// the failures of a template whose tasks failed in different racks and have not
// succeeded anywhere since.
package quarantine
