package edge

import (
	"coltsfootloft/core/memory"
	"coltsfootloft/io/entry"
)

// The shares of the process's memory that other processes may make it hold. Together they
// leave the runtime's soft limit of 0.6 some room for the host itself and for garbage; what is
// beyond that limit is for the program, stacks of threads and bytes in sockets.
const (
	messageShare = 1.0 / 8
	// valueShare is that of session values, which are held as long as their sessions
	// and so have a budget of their own.
	valueShare = 1.0 / 16
	// sessionShare is the share of the sessions themselves.
	sessionShare = 0.3
	// minMessages is the least memory for messages, so that the largest one fits, of
	// 1 MiB, which is held twice while it is put together.
	minMessages = 6 << 20
)

// buildMemory creates the budgets of the process and their metrics.
func (e *Edge) buildMemory() {
	total := float64(e.settings.MemoryMB << 20)
	e.messages = memory.New(max(int64(messageShare*total), minMessages))
	e.values = memory.New(int64(valueShare * total))
	e.describeMemory("messages", e.messages)
	e.describeMemory("values", e.values)
}

// sessionLimit returns how many sessions fit into the memory.
func sessionLimit(memoryMB int) int {
	return min(entry.MaxSessions, int(sessionShare*float64(memoryMB<<20)/entry.SessionSize))
}

func (e *Edge) describeMemory(what string, b *memory.Budget) {
	label := `{what="` + what + `"}`
	e.metrics.NewGauge("coltsfootloft_memory_used_bytes"+label, func() float64 { return float64(b.Used()) })
	e.metrics.NewGauge("coltsfootloft_memory_limit_bytes"+label, func() float64 { return float64(b.Limit()) })
	e.metrics.NewGauge("coltsfootloft_memory_refusals_total"+label, func() float64 { return float64(b.Refused()) })
}
