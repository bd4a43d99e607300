// Package share decides how the workspaces of a cell share its workers: how much each may have
// running, and whose turn it is while demand exceeds capacity. It keeps counts and decides; the
// placer feeds it.
package share
