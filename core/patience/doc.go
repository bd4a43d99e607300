// Package patience decides how long work waits for a better place: near its data, together with its group, or on faster
// workers. It answers the load at which the better place is full while others have room.
//
// Work waits while the expected time until the better place is free is shorter than what the place saves, and the
// objective allows the wait. The time is expected from the rate at which capacity was freed there. Delay scheduling
// (Zaharia et al., EuroSys 2010) instead skips a fixed number of opportunities, whatever the length of the work; the
// bound of a wait by what it can save is the one of ski rental (Karlin et al., 1988).
package patience
