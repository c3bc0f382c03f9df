// Package allotter bounds the use of client accounts over all instances together.
//
// Up to three instances lend the quota of each account: the conductor and its deputies.
// A [Lender] has a token bucket for each account, which holds its parts of the quota. A
// [Borrower] keeps the balances of one instance, charges requests to them, and decides
// what to request of which lender. An [Appointer] decides which instances are deputies,
// and a [Term] says until when an instance lends.
//
// The use of an account within any window stays within [Bounds], whatever messages are
// lost, delayed or repeated and whichever instances stop, because of these rules:
//
//   - At most one instance lends each part of the quotas at a time. A lender begins with
//     empty buckets, so that two lenders of one part lend no more than one.
//   - A loan is valid for a short time from when its request was sent. A request runs only
//     on a valid loan. One that has waited longer is charged again before it is sent.
//   - What was not used is returned with the lender's own stamp of the loan. A lender counts
//     its loans, less what was returned of them, over the length of the window, and lends
//     no more than the part of the bound. It ignores returns of loans that are older.
//   - A lender processes the requests of an instance's process in the order in which they were
//     sent, so that a repeated message returns nothing twice.
//
// Times are durations on the clock of package clocker, which runs while the machine is
// suspended. The tables are not safe for concurrent use.
package allotter
