// Package keylease decides until when a daemon may accept calls with a key.
//
// The right is a lease on the configuration. A reading of the operator's topic renews it from the
// moment at which the reading was sent: every version that was published before that moment is then in
// force, so a key that was taken away earlier is known to be. The lease ends before the platform's
// bound, whatever the daemon can still reach, and only a later reading brings it back.
//
// All times are on the boot clock, which counts suspension.
package keylease
