// Package configstream reads the configuration stream of the log service.
package configstream

import (
	"briarproxy/core/config"
	"briarproxy/core/wire"
)

// Reader applies the records of the stream. The log service counts offsets from 1,
// package config from 0.
type Reader struct{ *config.State }

// NewReader returns a reader whose first record will have the given log offset.
func NewReader(first int64) Reader { return Reader{config.NewState(max(0, first-1))} }

// Apply applies one record of the stream.
func (r Reader) Apply(record wire.LogRecord) config.Effect {
	return r.State.Apply(record.Offset-1, record.Data)
}

// Next returns the log offset of the first record that was not applied.
func (r Reader) Next() int64 { return r.State.NextOffset() + 1 }
