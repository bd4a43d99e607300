// Package faultproxy is a TCP proxy that injects faults of the network: delay,
// connections that are cut, refused or go silent for good, and answers that are
// lost after their request was passed on.
package faultproxy
