// Package stmt classifies SQL text without parsing it.
//
// Routing needs to know only whether a statement can write, whether it opens or ends
// a transaction, and whether it uses state of the connection that can't be moved
// between upstream connections. The first keywords usually decide this. Where they
// don't, as for a SELECT that calls a writing function, a replica refuses the
// statement before it runs, and the statement is sent to the primary.
//
// A [Script] is the text of one simple query, which may hold several statements;
// a [Statement] is one of them.
package stmt
