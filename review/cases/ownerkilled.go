package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// pairs is how many transactions are open before the kill, and how many are begun after.
	pairs = 3
	// restartDelay is the short delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// openFor is how long the first transactions rest, with and without a kill: less than
	// TxIdleMs.
	openFor = 2500 * time.Millisecond
)

// ownerKilled has clients of one host rest in transactions that another host holds the
// connections of. That other host is killed and started again, and further clients begin
// transactions. Then the first clients go on.
func ownerKilled(w *world) []string {
	w.start(3, smallConfig("news"), "news")
	owner, near := w.hosts[0], w.hosts[1] // the primary is in the zone of the first
	w.warmUp(near)
	first := w.beginAll("first", near)
	began := time.Now()
	if w.trouble {
		owner.kill()
		time.Sleep(restartDelay)
		owner.start()
		owner.awaitReady()
	} else {
		time.Sleep(restartDelay)
	}
	second := w.beginAll("second", near)
	if rested := time.Since(began); rested > openFor {
		failf("the first transactions rested for %s", rested)
	}
	var breaches []string
	for _, c := range first {
		written := c.do(fmt.Sprintf("WRITE late-%s of-%s", c.name, c.name))
		ended := c.do("COMMIT")
		if written.code == "" && !written.lost && ended.code == "" && !ended.lost {
			breaches = append(breaches, w.checkCommitted(c)...)
		}
		c.close()
	}
	for _, c := range second {
		c.do("ROLLBACK")
		c.close()
	}
	time.Sleep(200 * time.Millisecond) // for the rollbacks
	return append(breaches, w.checkRolledBack(near, second)...)
}

// warmUp has a host serve a first write of the tenant, and so get a part of its rate.
func (w *world) warmUp(h *host) {
	c := w.mustConnect("warm", h, "filing")
	defer c.close()
	w.until("a first write", func() bool { return c.do("WRITE first by-arima").code == "" })
}

// beginAll opens transactions at the same time, each with a write.
func (w *world) beginAll(name string, h *host) []*client {
	clients := make([]*client, pairs)
	var wg sync.WaitGroup
	for i := range clients {
		clients[i] = w.mustConnect(fmt.Sprintf("%s%d", name, i+1), h, "filing")
		wg.Go(func() {
			clients[i].do("BEGIN")
			clients[i].do(fmt.Sprintf("WRITE early-%s of-%s", clients[i].name, clients[i].name))
		})
	}
	wg.Wait()
	return clients
}

// committed returns the texts of the writes that took effect.
func (w *world) committed() []string {
	var texts []string
	for _, r := range w.groups[0].Runs() {
		if r.Committed && r.Text != "COMMIT" {
			texts = append(texts, r.Text)
		}
	}
	return texts
}

// checkCommitted checks that all writes of a client whose COMMIT succeeded took effect.
func (w *world) checkCommitted(c *client) []string {
	early := fmt.Sprintf("WRITE early-%s of-%s", c.name, c.name)
	if slices.Contains(w.committed(), early) {
		return nil
	}
	return []string{fmt.Sprintf("PINNED: %s got a success for its COMMIT, which ran outside its own transaction: %q is not committed", c.name, early)}
}

// checkRolledBack checks that no write of clients that have not asked for a commit took effect.
func (w *world) checkRolledBack(h *host, clients []*client) []string {
	var breaches []string
	reader := w.mustConnect("reader", h, "filing")
	defer reader.close()
	for _, c := range clients {
		early := fmt.Sprintf("WRITE early-%s of-%s", c.name, c.name)
		seen := reader.do("READ early-" + c.name)
		if slices.Contains(w.committed(), early) {
			breaches = append(breaches, fmt.Sprintf("UNASKED: %q is committed, though %s sent ROLLBACK and no COMMIT; a READ is answered with %s",
				early, c.name, seen.String()))
		}
	}
	return breaches
}
