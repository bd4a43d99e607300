// Package vmlist polls the platform's list of live and leaving VMs. The list lags
// behind the real state; daemon/control combines it with other sources.
package vmlist
