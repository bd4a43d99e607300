// Package admission decides which waiting request goes next, which is refused at
// once because its wait would be too long, and whether a retry may be made. It
// reads no clock: now is a time.Duration on the caller's boot clock.
package admission
