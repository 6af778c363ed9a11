// Package stmt classifies SQL text without parsing it.
//
// Routing needs to know little of a statement: whether it can only read, whether
// it opens or ends a transaction, and whether it touches state of the connection
// that can't be carried between upstream connections. The first keywords tell.
// Where they don't, as for a SELECT that calls a writing function, a replica
// refuses the statement before running it and the primary takes it.
//
// A [Script] is the text of one simple query, which may hold several statements;
// a [Statement] is one of them.
package stmt
