package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a case: what was sent, answered and run, with the time since the
// start of the case.
type record struct {
	started time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

// newRecord begins the record of a case, which the folder review holds under its number.
func newRecord(number string) (*record, error) {
	root, err := os.OpenRoot("review")
	if err != nil {
		return nil, err
	}
	defer func() { _ = root.Close() }()
	f, err := root.Create(number + "/record.txt")
	if err != nil {
		return nil, err
	}
	return &record{
		started: time.Now(),
		file:    f,
		out:     bufio.NewWriter(f),
	}, nil
}

// add writes one line. Who names the party that it is about.
func (r *record) add(who, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.4f %-10s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, values...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	r.file.Close()
}
