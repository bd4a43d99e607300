package wire

import "briarproxy/core/resource"

// MaxQuotaWishes bounds the teams in one call.
const MaxQuotaWishes = 256

// QuotaArgs asks the owner of a key shard for portions of the quotas of its teams.
type QuotaArgs struct {
	Holder     string // daemon and incarnation, and the shard if its jobs use the portion
	Seq        int64  // rises with each call of the holder; an overtaken call has no effect
	Shard      int
	ShardEpoch int64 // as in ForwardArgs
	Wishes     []QuotaWish
}

// QuotaWish is what a holder wants of one team's quota. The holder uses no more than
// Want from before it sends the call.
type QuotaWish struct {
	Team string
	Want resource.Vector // in all, including what the holder has
	Held resource.Vector // portion that has not lapsed
	Used resource.Vector
}

// QuotaReply answers QuotaArgs. A wish without a portion was overtaken.
type QuotaReply struct {
	Portions []QuotaPortion
}

// QuotaPortion is leased until the holder's clock, counted from before it sent
// QuotaArgs, has advanced by TTLMS.
type QuotaPortion struct {
	Team   string
	Amount resource.Vector
	TTLMS  int64
	// Share is set while other holders want more than they have: the holder is to
	// keep no more than this beyond what it uses.
	Share resource.Vector
}
