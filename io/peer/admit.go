package peer

import (
	"net"
	"slices"
)

const (
	// maxPending is how many accepted connections may be without their Hello, or as many as the
	// known hosts may have links: all may dial at once, and be accepted before any Hello is
	// read. A host that is not held up sends it within milliseconds.
	maxPending = 128
	// linksPerHost is how many links each known host may have: the link for new calls, and
	// one that finishes its calls.
	linksPerHost = 2
	// spareLinks is for hosts that are not known yet, since they have just started or this
	// host has.
	spareLinks = 128
	// maxLinksOfHost is how many links of one name are kept. Older ones belong to earlier
	// runs of a host, or to connections that it has lost.
	maxLinksOfHost = 4
	// maxServing is how many requests of other hosts are served at a time over all links.
	// Further ones are answered with BUSY.
	maxServing = 1024
	// maxStreams is how many streams other hosts may have open over all links before links with
	// more than their share of them are closed, and streamsPerCall how many on one link in any
	// case, as a multiple of the calls of a host. A stream stays open for a moment after its call.
	maxStreams     = 2 * maxServing
	streamsPerCall = 4
)

// admit adds an accepted connection to those that are not links yet. If there are too many, it
// closes the oldest.
func (l *Links) admit(conn net.Conn) {
	most := max(maxPending, linksPerHost*l.hosts())
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending) >= most {
		l.pending[0].Close()
		l.pending = slices.Delete(l.pending, 0, 1)
	}
	l.pending = append(l.pending, conn)
}

// endPending removes a connection that has become a link or was closed.
func (l *Links) endPending(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.pending, conn); i >= 0 {
		l.pending = slices.Delete(l.pending, i, i+1)
	}
}

// isFull reports whether there are as many links as other hosts need.
func (l *Links) isFull() bool {
	hosts := l.hosts()
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.links)+len(l.retired) >= linksPerHost*hosts+spareLinks
}

// hosts returns the number of other hosts.
func (l *Links) hosts() int {
	if l.Hosts == nil {
		return DefaultHosts
	}
	return l.Hosts()
}

// oldestOf returns the oldest link of a host that gets no new calls if the host has too many
// links, or nil. l.mu is held.
func (l *Links) oldestOf(host string) *link {
	var oldest *link
	n := 0
	for k := range l.retired {
		if k.host != host {
			continue
		}
		n++
		if oldest == nil || k.opened.Before(oldest.opened) {
			oldest = k
		}
	}
	if n < maxLinksOfHost {
		return nil
	}
	return oldest
}

// beginStream counts a stream that the other side has opened. It reports false if the link has
// more of them than a host opens, or more than its share while there are too many over all links;
// the link is to be closed then. Other links keep their calls.
func (l *Links) beginStream(k *link) bool {
	total := l.streams.Add(1)
	most := streamsPerCall * int64(l.MaxCalls)
	if total > maxStreams {
		most = min(most, l.streamShare())
	}
	if k.streams.Add(1) > most {
		l.endStream(k)
		return false
	}
	return true
}

// streamShare is an equal share of the streams for each link.
func (l *Links) streamShare() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maxStreams / int64(max(1, len(l.links)+len(l.retired)))
}

// endStream counts the end of a stream for which beginStream was called.
func (l *Links) endStream(k *link) {
	k.streams.Add(-1)
	l.streams.Add(-1)
}
