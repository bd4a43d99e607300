// Package loan keeps account of the request slots that the owner of a rack has
// lent to other daemons.
//
// A borrower counts a loan's life from before it asked, the lender from after it
// granted, with a margin for clock drift. So the borrower stops using a loan
// before the lender counts it as lapsed. A request started under a loan may run
// on after the lapse; its slot is free again only when a report that the worker
// was asked for after the lapse does not list it, or when the longest run lease
// has surely passed.
package loan
