package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// longWork is the work of one read at the database: below the greatest of the site file.
	longWork = 150 * time.Millisecond
	// clientPause is the pause between two statements of a transaction.
	clientPause = 350 * time.Millisecond
	// txReads is how many reads a transaction has; BEGIN and ROLLBACK make it 12 statements.
	txReads = 10
	// stopSessions is how many sessions are in a transaction.
	stopSessions = 16
	// stagger is the time between the beginnings of two transactions.
	stagger = 31 * time.Millisecond
	// lastSixth is when the last sixth of GraceS begins.
	lastSixth = 5 * time.Second
)

// stopCuts stops a host with SIGTERM while clients are in transactions, and looks whether a
// statement that it has passed on to a database is answered.
func stopCuts(w *world) []string {
	w.start(3, smallConfig("news"), "news")
	h := w.hosts[0]
	for _, l := range w.groups[0].links {
		w.groups[0].SetHook(l.name, func() { time.Sleep(longWork) })
	}
	var clients []*client
	for i := range stopSessions {
		clients = append(clients, w.mustConnect(fmt.Sprintf("client%d", i+1), h, "bulletin"))
	}
	for _, c := range clients {
		w.until("a first read", func() bool { return c.do("READ item").code == "" })
	}
	var mu sync.Mutex
	var cut []answer
	var wg sync.WaitGroup
	stopped := time.Now().Add((stopSessions + 1) * stagger)
	for i, c := range clients {
		wg.Go(func() {
			time.Sleep(time.Until(stopped.Add(-time.Duration(i+1) * stagger)))
			a := c.runTransaction()
			if a.closed && time.Since(stopped) < lastSixth {
				mu.Lock()
				defer mu.Unlock()
				cut = append(cut, a)
			}
		})
	}
	time.Sleep(time.Until(stopped))
	if w.trouble {
		h.signal(syscall.SIGTERM)
	}
	wg.Wait()
	return w.checkAnswered(cut)
}

// runTransaction runs a transaction and returns the answer that ended it.
func (c *client) runTransaction() answer {
	defer c.close()
	if a := c.do("BEGIN READ"); a.lost || a.code != "" {
		return a
	}
	for range txReads {
		time.Sleep(clientPause)
		if a := c.do("READ item"); a.lost || a.code != "" {
			return a
		}
	}
	time.Sleep(clientPause)
	return c.do("ROLLBACK")
}

// checkAnswered returns a breach for each statement that a database has run and whose client's
// connection ended without an answer.
func (w *world) checkAnswered(cut []answer) []string {
	time.Sleep(2 * longWork)
	var breaches []string
	for _, a := range cut {
		for _, r := range w.groups[0].Runs() {
			if r.ID == a.id {
				breaches = append(breaches, fmt.Sprintf("LOST: %s with id %s was passed on to %s and never answered: the connection ended", r.Text, a.id, r.Database))
				break
			}
		}
	}
	return breaches
}
