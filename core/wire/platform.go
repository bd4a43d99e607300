package wire

import "briarproxy/core/resource"

// Streams of the log service. Names of shard streams come from ShardStream.
const (
	StreamConfig  = "config"
	StreamMembers = "members"
)

// AppendReply answers an append to a stream of the log service.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply answers a read. First is the lowest kept offset, Next the offset that
// the next append will get. A read below First starts at First.
type ReadReply struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// VMRole tells workers from the system's own VMs.
type VMRole string

// VMState is the state that the VM list gives.
type VMState string

// Values of VMRole and VMState.
const (
	RoleWorker VMRole  = "worker"
	RoleEntry  VMRole  = "entry"
	VMLive     VMState = "live"
	VMLeaving  VMState = "leaving"
)

// VM is an entry of the platform's VM list.
type VM struct {
	Name       string          `json:"name"`
	Address    string          `json:"address"` // IP:port of its protocol
	Role       VMRole          `json:"role"`
	State      VMState         `json:"state"`
	Region     string          `json:"region"`
	DataCentre string          `json:"data_centre"`
	Rack       string          `json:"rack"`
	Capacity   resource.Vector `json:"capacity"`
}

// VMList is the platform's list, which lags behind the truth.
type VMList struct {
	VMs []VM `json:"vms"`
}
