package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// readWork is the work of one read at the database, as in the site file.
	readWork = 22 * time.Millisecond
	// readers is how many sessions read at the same time.
	readers = 6
	// shortCut is how long the host and the primary are partitioned: longer than half the
	// target latency of the route, after which a read is sent again, and shorter than its
	// timeout.
	shortCut = 500 * time.Millisecond
	// cuts is how often that happens.
	cuts = 3
)

// lateAnswer has sessions with values of their own read at the primary, while a host is
// partitioned from it for a moment.
func lateAnswer(w *world) []string {
	w.start(3, smallConfig("news"), "news")
	primary := w.groups[0].links[0]
	values := make(map[string]string)
	writer := w.mustConnect("writer", w.hosts[0], "filing")
	for i := range readers {
		item := fmt.Sprintf("item%d", i)
		values[item] = fmt.Sprintf("value-of-%s", item)
		w.until("a write", func() bool { return writer.do("WRITE "+item+" "+values[item]).code == "" })
	}
	w.groups[0].SetHook(primary.name, func() { time.Sleep(readWork) })
	var mu sync.Mutex
	var breaches []string
	end := make(chan struct{})
	var wg sync.WaitGroup
	for i := range readers {
		wg.Go(func() {
			for _, b := range w.readLoop(i, values, end) {
				mu.Lock()
				breaches = append(breaches, b)
				mu.Unlock()
			}
		})
	}
	for range cuts {
		time.Sleep(2 * time.Second)
		if w.trouble {
			primary.cut(w.hosts[0], shortCut)
		}
	}
	time.Sleep(2 * time.Second)
	close(end)
	wg.Wait()
	slices.Sort(breaches)
	return breaches
}

// readLoop reads one item again and again, each time with another session value, and returns
// the successes that carry the answer to another statement.
func (w *world) readLoop(n int, values map[string]string, end <-chan struct{}) []string {
	var breaches []string
	var c *client
	item := fmt.Sprintf("item%d", n)
	for k := 0; ; k++ {
		select {
		case <-end:
			return breaches
		default:
		}
		if c == nil {
			c = w.mustConnect(fmt.Sprintf("reader%d-%d", n, k), w.hosts[0], "filing")
		}
		set := c.do(fmt.Sprintf("SET mark m%d-%d", n, k))
		a := answer{lost: true}
		if !set.lost {
			a = c.do("READ " + item)
		}
		if a.lost {
			c.close()
			c = nil
			continue
		}
		time.Sleep(time.Duration(10+7*n) * time.Millisecond)
		if a.code != "" {
			continue
		}
		if !strings.HasSuffix(a.digest, "."+a.id) || !slices.Equal(a.rows, []string{values[item]}) {
			breaches = append(breaches, fmt.Sprintf("MIXED: READ %s with id %s was answered with %s", item, a.id, a.String()))
		}
	}
}
