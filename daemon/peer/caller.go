package peer

import "context"

// Caller calls methods of other daemons' net/rpc service. A call to this daemon
// itself does not use the network. Method names are the RPC constants of package
// wire; args and reply are pointers to the matching structs there.
//
// An error of kind fault.Unavailable means that the call may or may not have had
// an effect; fault.Refused and fault.NotOwner mean that it had none.
type Caller interface {
	Call(ctx context.Context, daemon, method string, args, reply any) error
}
