// Package faultproxy is a TCP proxy that injects network faults: delays, connections
// that are reset, refused or permanently silent (they stay open but deliver nothing),
// and responses that are lost after their request reached the target.
package faultproxy
