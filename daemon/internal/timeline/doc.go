// Package timeline merges the logs of several daemons into one chronological list of events
// about a job, a worker or the ownership of the placer role, as text or as an HTML page.
package timeline
