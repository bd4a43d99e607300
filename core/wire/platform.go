package wire

import "briarproxy/core/resource"

// Streams of the log service. ShardStream returns the names of the shard streams.
const (
	StreamConfig  = "config"
	StreamMembers = "members"
)

// AppendReply is the reply to an append to a stream of the log service.
type AppendReply struct {
	Offset int64 `json:"offset"`
}

// LogRecord is one record of a stream.
type LogRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// ReadReply is the reply to a read of a stream. First is the lowest retained offset, Next
// the offset of the next append. A read from an offset below First starts at First.
type ReadReply struct {
	First   int64       `json:"first"`
	Next    int64       `json:"next"`
	Records []LogRecord `json:"records"`
}

// VMRole distinguishes workers from the VMs that run the system's own processes.
type VMRole string

// VMState is the state of a VM in the VM list.
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
	Address    string          `json:"address"` // IP:port at which the VM serves the protocol of its role
	Role       VMRole          `json:"role"`
	State      VMState         `json:"state"`
	Region     string          `json:"region"`
	DataCentre string          `json:"data_centre"`
	Rack       string          `json:"rack"`
	Capacity   resource.Vector `json:"capacity"`
}

// VMList is the platform's list of VMs, which lags behind their actual state.
type VMList struct {
	VMs []VM `json:"vms"`
}
