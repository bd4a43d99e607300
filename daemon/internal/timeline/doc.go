// Package timeline turns the logs of several daemons into one ordered story of a job, a
// worker or of who placed, as text or as one page of HTML.
package timeline
