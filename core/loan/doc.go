// Package loan moves unused parts of a fleet-wide limit between hosts.
//
// # Parts
//
// A limit is a rate and a burst (a client account's statements), or a plain
// number of rights (a database's connections, the burst of a [Part] whose rate is
// zero). Every host owns a part of it through the seats it holds; the parts of all
// hosts sum to the limit. A [Book] keeps one host's account of one limit:
//
//	held = own while the lease lasts − lent + borrowed
//
// # Loans
//
// A borrower asks a lender; the lender grants a part for a period. The lender
// counts the part as gone before the grant is sent, and for longer than the
// borrower may use it: the borrower's period runs from when it asked, by its own
// clock, the lender's from when it answered, stretched by the assumed drift of the
// clocks. A lender never lends past the end of its own lease, and only from what
// it owns. The sum of what all hosts hold is therefore never above the limit,
// whichever messages are lost, late or doubled.
//
// Tokens travel with a grant. They are debited before they are sent, so a lost
// message loses them and none is ever doubled. Tokens on the way have room set
// aside for them, by the borrower ([Request].Room) or in the growth of the loan, so
// that the sum of all tokens never exceeds the sum of all bursts.
//
// # Renewal
//
// There is at most one loan for each pair of borrower and lender. A later ask
// states what the borrower still keeps of the loan, and its answer replaces the
// loan. Asks carry a sequence number; a lender ignores one that is older than the
// last it has seen. Borrowers are named with the run of their process, so that a
// replaced process does not stand in for the one before it.
package loan
