// Package loan keeps the ledger of the service slots that the owner of rack units
// lends to other daemons. The borrower counts a loan from before it sent its
// request, the lender from after it granted it, plus the drift margin, so the
// lender's record ends last. A start that was sent under a loan may run until its
// run lease ends; slots of a lapsed loan are lent again only when a worker report
// from after the lapse shows them idle or the longest run lease has passed too.
package loan
