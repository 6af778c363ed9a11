package entry

// The sizes of the kernel's buffers for a caller's connection, in bytes. The kernel doubles
// them and counts its own overhead too. It would otherwise let them grow to megabytes for
// each caller that sends ahead or does not read. The largest usual statement has 1,200 bytes,
// the largest usual answer 3,000.
const (
	receiveBuffer = 8 << 10
	sendBuffer    = 16 << 10
)
