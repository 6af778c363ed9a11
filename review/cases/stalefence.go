package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	// nodeCut is how long the holder of the duty is cut off from the platform.
	nodeCut = 5 * time.Second
	// releaseGap is the time between the replacement of two databases of a service.
	releaseGap = time.Second
	// stewardKey is the key of the store that names the holder of the duty.
	stewardKey = "coltsfootloft/duty/steward"
)

// staleFence has the primary leave, and cuts the holder of the duty off from the platform while
// its call that names the next primary is on its way.
func staleFence(w *world) []string {
	w.start(3, smallConfig("news"), "news")
	holder := w.holder()
	healed := make(chan struct{})
	var once sync.Once
	w.toControl.seen = func(ip string, b []byte) {
		if !w.trouble || ip != holder.ip || !bytes.HasPrefix(b, []byte("POST /failover")) {
			return
		}
		once.Do(func() {
			heal := []func(){w.toControl.beginCut(holder), w.toStore.beginCut(holder)}
			time.AfterFunc(nodeCut, func() {
				for _, f := range heal {
					f()
				}
				close(healed)
			})
		})
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	var acks []ack
	go func() {
		defer close(done)
		acks = w.writeLoop(holder, stop)
	}()
	time.Sleep(time.Second)
	w.drain("i-news-1")
	time.Sleep(releaseGap)
	w.drain("i-news-2")
	if w.trouble {
		<-healed
	} else {
		time.Sleep(nodeCut)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	<-done
	return append(w.checkFences(), w.checkOldPrimary(acks)...)
}

// ack is a write that was acknowledged to its client.
type ack struct {
	at     time.Time // when the client sent it
	answer answer
}

// holder returns the host that holds the duty.
func (w *world) holder() *host {
	i, ok := w.store.Get(stewardKey)
	for _, h := range w.hosts {
		if ok && h.name == string(i.Value) {
			w.record.add("case", "%s holds the duty, fence %d", h.name, i.Revision)
			return h
		}
	}
	failf("no host holds the duty")
	return nil
}

// writeLoop writes at a host other than the holder of the duty, and returns what was acknowledged.
func (w *world) writeLoop(holder *host, stop <-chan struct{}) (acks []ack) {
	h := w.hosts[0]
	if h == holder {
		h = w.hosts[1]
	}
	c := w.mustConnect("writer", h, "filing")
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return acks
		case <-time.After(50 * time.Millisecond):
		}
		sent := time.Now()
		a := c.do(fmt.Sprintf("WRITE item%d value%d", n, n))
		if a.lost {
			return acks
		}
		if a.code == "" {
			acks = append(acks, ack{
				at:     sent,
				answer: a,
			})
		}
	}
}

// checkFences returns a breach for each call with a lower fence than the platform has seen.
func (w *world) checkFences() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var breaches []string
	var highest failover
	for _, f := range w.failovers {
		if f.fence < highest.fence {
			breaches = append(breaches, fmt.Sprintf("ONE: %s named %s with fence %d after %s had named %s with fence %d; %s led",
				f.holder, f.database, f.fence, highest.holder, highest.database, highest.fence, f.before))
			continue
		}
		highest = f
	}
	return breaches
}

// oldPrimaryGoesOn is how long a primary goes on after it can reach a newer one.
const oldPrimaryGoesOn = time.Second

// checkOldPrimary returns a breach for the writes that were sent after a promote had taken effect,
// committed at the old primary and acknowledged.
func (w *world) checkOldPrimary(acks []ack) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var breaches []string
	for _, f := range w.failovers {
		if f.before == f.database {
			continue
		}
		n := 0
		last := ""
		effect := f.at.Add(promoteTime)
		end := effect.Add(oldPrimaryGoesOn)
		for _, a := range acks {
			if a.at.After(effect) && a.at.Before(end) && strings.HasPrefix(a.answer.digest, f.before+".") {
				n++
				last = a.answer.String()
			}
		}
		if n > 0 {
			breaches = append(breaches, fmt.Sprintf("ONE: %d writes were acknowledged by %s in the second after %s had become primary, the last one with %s", n, f.before, f.database, last))
		}
	}
	return breaches
}
