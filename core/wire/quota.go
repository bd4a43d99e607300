package wire

import "briarproxy/core/resource"

// MaxQuotaRequests limits the requests, which are one per team, in one QuotaArgs.
const MaxQuotaRequests = 256

// QuotaArgs asks the owner of a key shard for portions of the quotas of the teams that
// belong to the shard. net/rpc sends the names of the fields, so they must not change.
type QuotaArgs struct {
	Holder     string // daemon and incarnation; for the jobs of a shard: daemon, shard unit and shard epoch
	Seq        int64  // increases with each call of the holder; a call that arrives after a later one has no effect
	Shard      int
	ShardEpoch int64 // as in ForwardArgs
	Wishes     []QuotaRequest
}

// QuotaRequest is the portion that a holder requests of one team's quota. Before it sends
// the request, the holder limits its use to Want.
type QuotaRequest struct {
	Team string
	Want resource.Vector // wanted total, including what the holder has
	Held resource.Vector // portion that has not expired
	Used resource.Vector
}

// QuotaReply is the reply to QuotaArgs. It has no portion for a request that arrived
// after a later one.
type QuotaReply struct {
	Portions []QuotaPortion
}

// QuotaPortion is a portion of a quota that is leased for TTLMS. The holder counts that
// time on its own clock from before it sent QuotaArgs.
type QuotaPortion struct {
	Team   string
	Amount resource.Vector
	TTLMS  int64
	// Share is set while other holders want more than they have. The holder must then
	// not ask for more than Share, unless it uses more already.
	Share resource.Vector
}
