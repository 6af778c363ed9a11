//go:build naive

package host

// naive selects the baseline that measurements are compared with: every read goes
// to the primary, limits are split into equal static parts, and there are no loans
// between hosts.
const naive = true
