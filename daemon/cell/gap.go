package cell

import (
	"context"
	"time"

	"briarproxy/core/placer"
)

// Times for which a daemon whose state lacks records waits for one that has them.
const (
	gapWait      = 5 * time.Second        // without a record of any placer; a daemon that has all records claims sooner
	gapRankDelay = 200 * time.Millisecond // per daemon that is better suited as the placer
	maxGapRanks  = 8
)

// historyGap describes a state that lacks records of the log: they expired before this daemon read them, and no snapshot
// reached the oldest retained one. The daemon applies the records that are left, to know the other daemons and the placer, but
// it does not place, save snapshots or answer from that state. Daemons that have read all records close the gap with their next
// snapshot.
type historyGap struct {
	first        int64         // oldest retained offset when the gap was found
	since        time.Duration // boot clock
	reachedEndAt time.Duration // when the records that are left were last read to the end; 0 is never
}

// beginGap continues at the oldest retained record although earlier ones were not read.
func (e *engine) beginGap(first int64, now time.Duration) {
	if e.gap == nil { // else the log goes on expiring while this daemon looks for a snapshot
		e.log.Emit(evHistoryLost, "position", e.state.NextOffset, "first", first)
	}
	e.stopPlacing("records of the log expired before this daemon read them")
	e.state.NextOffset = first
	e.markIncomplete(first, now)
}

// markIncomplete makes this daemon wait for a snapshot.
func (e *engine) markIncomplete(first int64, now time.Duration) {
	if e.gap == nil {
		e.gap = &historyGap{since: now}
	}
	e.gap.first = first
	e.readToEndAt, e.lossClaimed = 0, false
	e.isIncomplete.Store(true)
}

// closeGap ends the wait: a snapshot without a gap has been loaded.
func (e *engine) closeGap() {
	e.gap, e.lossClaimed = nil, false
	e.isIncomplete.Store(false)
}

// claimInSpiteOfGapIfDue claims although the state lacks records, once no placer has been heard of for so long that no daemon
// that has these records can be alive. The records are lost then; without a placer, nothing would ever run again.
func (e *engine) claimInSpiteOfGapIfDue(ctx context.Context, now time.Duration) {
	if e.gap == nil || e.draining || e.claiming || e.config == nil || e.store.directDown.Load() {
		return
	}
	if e.claimConflictAt > 0 && now-e.claimConflictAt < claimConflictBackoff {
		return // a higher claim is stored but has not been read yet
	}
	if e.gap.reachedEndAt < e.claimAnsweredAt {
		return // the outcome of the last claim has not been read yet
	}
	rank := min(placer.ClaimRank(e.state, e.hello(), now), maxGapRanks)
	wait := gapWait + time.Duration(rank)*gapRankDelay
	silence := now - max(e.gap.since, e.state.LastHeard, e.readableSince)
	if now-e.gap.reachedEndAt > readyReadAge || silence <= wait {
		return
	}
	e.claim(ctx, "records have expired, and no daemon that has read them was heard of", nil)
}

// giveUpGap accepts the loss of records: this daemon's claim has been stored, so its state is the cell's from now on.
func (e *engine) giveUpGap(now time.Duration) {
	e.log.Emit(evHistoryGivenUp, "first", e.gap.first)
	e.state.LossAt, e.readToEndAt = now, e.gap.reachedEndAt
	e.snapshotAsOf = 0
	e.closeGap()
	e.lossClaimed = true
}

// handleOthersClaim handles the claim of another daemon. Only one daemon's state can be the cell's after a loss of records: one
// that has read all records does not follow a placer that lacks some, and one that has placed without them follows the next
// placer.
func (e *engine) handleOthersClaim(now time.Duration) {
	switch {
	case e.lossClaimed:
		e.markIncomplete(e.logFirst, now)
	case e.state.Claim.Truncated && e.gap == nil && e.readToEndAt > 0:
		e.state.RejectClaim(now)
		e.publishPlacer()
	}
}

// lastReachedEndAt returns when the records that this daemon could read were last read to the end; 0 is never.
func (e *engine) lastReachedEndAt() time.Duration {
	if e.gap != nil {
		return e.gap.reachedEndAt
	}
	return e.readToEndAt
}

// reachedEnd records that the log was read to its end as of the given time.
func (e *engine) reachedEnd(asOf time.Duration) {
	if e.gap != nil {
		e.gap.reachedEndAt = asOf
		return
	}
	e.readToEndAt = asOf
}
