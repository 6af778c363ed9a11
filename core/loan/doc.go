// Package loan lends unused parts of a fleet-wide limit from one host to another.
//
// # Parts
//
// A limit is either a rate and a burst, for the statements of a client account, or a
// plain number of rights, for the connections of a database; a number of rights is
// the burst of a [Part] whose rate is zero. Every host owns a part of the limit
// through the seats it holds, and the parts of all hosts sum to the limit. A [Book]
// keeps one host's balance of one limit:
//
//	held = own while the lease lasts − lent + borrowed
//
// # Loans
//
// A borrower sends a [Request] to a lender, which answers with a [Grant] of a part
// for a period. The lender deducts the part before it sends the grant, and
// for longer than the borrower may use it: the borrower's period runs from when it
// sent the request, by its own clock; the lender's runs from when it answered and is
// extended by the assumed drift between the clocks. A lender never lends past the
// end of its own lease, and only from the part that it owns. The sum of what all
// hosts hold therefore never exceeds the limit, even if messages are lost, delayed
// or duplicated.
//
// Grants carry tokens. The lender debits them before it sends them, so a lost
// message loses them and none is ever counted twice. Room for tokens in flight is
// reserved, by the borrower ([Request].Room) or in the growth of the loan, so that the
// sum of all tokens never exceeds the sum of all bursts.
//
// # Renewal
//
// There is at most one loan for each pair of borrower and lender. A later request
// states how much of the loan the borrower still uses, and its answer replaces the
// loan. Requests carry a sequence number; a lender ignores one that is not newer
// than the last it has received. A borrower's name includes the run of its process,
// so that a restarted process is not mistaken for the one before it.
package loan
