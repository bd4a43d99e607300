// Package object defines the configuration objects that operators publish: services,
// job templates, policies, pools and teams. It reads them from JSON with comments and
// validates a whole set, including every reference between objects.
package object
