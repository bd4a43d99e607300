// Package ownership decides which daemon owns which unit. State applies the
// records of stream "members" in log order: owners and epochs depend on the order
// alone, never on time. Decide compares the state with the wanted owners and gives
// the claims and releases that this daemon should append; it uses the time at which
// this daemon read each renewal.
//
// A daemon's own lease is extended only when it reads its own record back from the
// log. The answer to an append is not enough, because a claim by another daemon may
// have been placed before it.
package ownership
