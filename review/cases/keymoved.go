package main

import (
	"fmt"
	"slices"
	"time"
)

const (
	// revokeTime is RevokeMs, after which nothing that is sent with a withdrawn key may run.
	revokeTime = 5 * time.Second
	// statementPause is the pause between two statements of the transaction, less than
	// TxIdleMs.
	statementPause = 900 * time.Millisecond
	// pausedReads is how many reads keep the transaction open beyond revokeTime.
	pausedReads = 7
)

// keyMoved has the operator move a key from one tenant to another while a client with that key
// is in a transaction.
func keyMoved(w *world) []string {
	w.start(1, smallConfig("news"), "news")
	h := w.hosts[0]
	c := w.mustConnect("client", h, "filing")
	defer c.close()
	w.until("a first write", func() bool { return c.do("WRITE first by-arima").code == "" })
	c.must("BEGIN")
	c.must("WRITE early by-arima")
	taken := time.Now()
	if w.trouble {
		w.change("the key of arima is siparia's from now on", func(c *config) {
			c.Tenants[0].Keys = []string{"key-arima-new"}
			c.Tenants[1].Keys = append(c.Tenants[1].Keys, clientKey)
		})
		taken = time.Now()
	}
	late := make(map[string]time.Duration)
	send := func(text string) answer {
		after := time.Since(taken)
		a := c.do(text)
		late[a.id] = after
		return a
	}
	for range pausedReads {
		time.Sleep(statementPause)
		if a := send("READ early"); a.lost || a.code != "" {
			break
		}
	}
	send("WRITE late by-whom")
	send("COMMIT")
	if !w.trouble {
		return nil
	}
	var breaches []string
	for _, r := range w.groups[0].Runs() {
		if after, ok := late[r.ID]; ok && after > revokeTime && r.Account == "arima" {
			b := fmt.Sprintf("UNASKED: %s with id %s ran for tenant %s, %s after the key went to siparia; committed %t",
				r.Text, r.ID, r.Account, after.Round(time.Millisecond), r.Committed)
			if !slices.Contains(breaches, b) {
				breaches = append(breaches, b)
			}
		}
	}
	return breaches
}
