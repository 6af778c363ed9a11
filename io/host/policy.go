//go:build !naive

package host

// naive is false in the regular build. The build with the tag naive is the baseline
// that measurements are compared with.
const naive = false
