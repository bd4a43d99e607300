package loan

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkRenewAndExpire measures one loan's renewal and its part of a sweep, with
// as many loans as a lender of so many workers and borrowers has.
func BenchmarkRenewAndExpire(b *testing.B) {
	for _, loans := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("loans=%d", loans), func(b *testing.B) {
			l := NewLedger(0, Timing{Lapse: time.Hour, Settle: time.Hour})
			ids := make([]int64, loans)
			for i := range ids {
				ids[i] = l.Grant(fmt.Sprintf("vm-%d", i%200), "workers", "d-1", 1, 0).ID
			}
			now := time.Duration(0)
			for i := 0; b.Loop(); i++ {
				now++
				l.Renew(ids[i%loans], "d-1", now)
				if i%loans == 0 {
					l.Expire(now)
				}
			}
		})
	}
}
