package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
	"coltsfootloft/stand/child"
	"coltsfootloft/stand/ports"
)

// restartDelay is how long the platform waits before it starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// host is one entry host: a process at a time, which is started again when it ends.
type host struct {
	soak     *soak
	number   int
	ip       string
	settings conf.EntrySettings
	file     string // of the settings
	log      string
	ended    chan struct{} // closed once no process is started any more

	mu      sync.Mutex
	process *child.Process
	cause   cause
	next    plan
}

// cause is why a process is to end.
type cause struct {
	term, kill bool
	// overdue is set when it is killed because it has not ended within the grace period.
	overdue bool
	// memory is set when it is killed because it has more than its memory, as the platform does.
	memory bool
	// unloaded is set while the last SIGHUP came before the program was loaded, when no
	// program can handle it.
	unloaded bool
}

// plan is how a host is started next.
type plan struct {
	after time.Duration
	// hangups is how many SIGHUPs it gets in the first milliseconds, hangupDelay after its start,
	// while the settings file is written anew in pieces.
	hangups     int
	hangupDelay time.Duration
	// taken is how long another process holds the address takenAddress.
	taken        time.Duration
	takenAddress int
}

// maxLinked is how many hosts have a switch before them. With one before each of a hundred hosts, the links
// between them would take most of this process.
const maxLinked = 24

func (s *soak) newHost(ctx context.Context, i int) (*host, error) {
	h := &host{
		soak:   s,
		number: i,
		ip:     fmt.Sprintf("%s.%d.%d", s.net, 10+i/250, 1+i%250),
		file:   filepath.Join(s.folder, fmt.Sprintf("host-%d.jsonc", i)),
		log:    filepath.Join(s.folder, fmt.Sprintf("host-%d.log", i)),
		ended:  make(chan struct{}),
	}
	list, err := ports.Choose(h.ip, 3)
	if err != nil {
		return nil, errors.Wrap(err, "addresses")
	}
	h.settings = conf.EntrySettings{
		Name:         fmt.Sprintf("host-%d", i),
		Domain:       s.domain(i),
		Listen:       list[0],
		Ready:        list[1],
		Peer:         list[2],
		Store:        s.way.Listener.Addr().String(),
		Control:      s.way.Listener.Addr().String(),
		MemoryMB:     s.memoryMB,
		Cores:        0.3,
		WithdrawalMS: int(withdrawal.Milliseconds()),
		DrainMS:      int(drain.Milliseconds()),
		GraceS:       grace.Seconds(),
		EvacuateMS:   int(evacuation.Milliseconds()),
	}
	if i >= maxLinked {
		return h, nil
	}
	l, err := listen(ctx, s.net+".1.3:0")
	if err != nil {
		return nil, err
	}
	s.links.Add(ctx, h.settings.Name, h.settings.Peer, l)
	return h, nil
}

func (h *host) addresses() []string {
	return []string{h.settings.Listen, h.settings.Ready, h.settings.Peer}
}

// text is the settings file.
func (h *host) text() []byte {
	b, err := json.MarshalIndent(h.settings, "", "  ")
	if err != nil {
		panic(err)
	}
	return append([]byte("// Process settings of one entry host.\n"), b...)
}

// keep starts the process, again whenever it has ended, until the run closes.
func (h *host) keep(ctx context.Context) {
	defer close(h.ended)
	for ctx.Err() == nil && !h.soak.isClosing() {
		h.mu.Lock()
		p := h.next
		h.next = plan{after: restartDelay}
		h.mu.Unlock()
		time.Sleep(p.after)
		if ctx.Err() != nil || h.soak.isClosing() {
			return
		}
		process, err := h.start(ctx, p)
		if err != nil {
			h.soak.report("host %d not started: %v", h.number, err)
			continue
		}
		h.noteEnd(process.End())
	}
}

func (h *host) start(ctx context.Context, p plan) (*child.Process, error) {
	if err := os.WriteFile(h.file, h.text(), 0o600); err != nil {
		return nil, errors.Wrap(err, "settings")
	}
	if p.taken > 0 {
		h.take(ctx, h.addresses()[p.takenAddress], p.taken)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	env := []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "COLTSFOOTLOFT_CONFIG=" + h.file}
	written := make(chan struct{})
	if p.hangups > 0 {
		go h.rewrite(written)
	}
	process, err := child.Start(h.log, env, h.soak.program, "entry")
	if err != nil {
		return nil, errors.Wrap(err, "process")
	}
	h.process = process
	h.cause = cause{}
	if p.hangups > 0 {
		go func() {
			time.Sleep(p.hangupDelay)
			for range p.hangups {
				h.hangUp(process)
				time.Sleep(time.Millisecond)
			}
			<-written
		}()
	}
	return process, nil
}

// hangUp sends SIGHUP to a process of the host.
func (h *host) hangUp(p *child.Process) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == p {
		h.cause.unloaded = !p.Handles(syscall.SIGHUP)
		p.Signal(syscall.SIGHUP)
	}
}

// rewrite writes the settings file anew, in pieces and several times.
func (h *host) rewrite(written chan<- struct{}) {
	defer close(written)
	text := h.text()
	const rounds, pieces = 5, 4
	for range rounds {
		f, err := os.Create(h.file)
		if err != nil {
			return
		}
		for i := range pieces {
			_, _ = f.Write(text[len(text)*i/pieces : len(text)*(i+1)/pieces])
			time.Sleep(2 * time.Millisecond)
		}
		f.Close()
		time.Sleep(3 * time.Millisecond)
	}
}

// take holds an address as another process does.
func (h *host) take(ctx context.Context, address string, d time.Duration) {
	l, err := listen(ctx, address)
	if err != nil {
		return // the process that has ended holds it a little longer
	}
	time.AfterFunc(d, func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			c.Close()
		}
	}()
}

// stop sends SIGTERM or SIGKILL. SIGKILL follows SIGTERM after the grace period.
func (h *host) stop(s syscall.Signal, next plan) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return
	}
	p := h.process
	h.next = next
	p.SamplePeak()
	if s == syscall.SIGKILL {
		h.cause.kill = true
		p.Signal(s)
		return
	}
	h.cause.term = true
	p.Signal(s)
	time.AfterFunc(grace, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.process != p || h.cause.kill {
			return
		}
		select {
		case <-p.Done():
		default:
			h.cause.kill = true
			h.cause.overdue = true
			p.Signal(syscall.SIGKILL)
		}
	})
}

// checkMemory samples the memory of the process and ends it if it has more than its limit.
func (h *host) checkMemory(limitKB int64) (peakKB int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process == nil {
		return 0
	}
	peakKB = h.process.SamplePeak()
	if peakKB >= limitKB && !h.cause.memory {
		h.cause.memory = true
		h.process.Signal(syscall.SIGKILL)
	}
	return peakKB
}

// current returns the process; nil before the first start.
func (h *host) current() *child.Process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.process
}

// noteEnd counts an end by its reason.
func (h *host) noteEnd(e child.End) {
	h.mu.Lock()
	c := h.cause
	h.mu.Unlock()
	reason, own := c.classify(e)
	// One that the signal has not ended had ended before it, unnoticed as this process stood still.
	overdue := c.overdue && e.Signal == syscall.SIGKILL && !h.soak.isImpaired(h.number, e.At.Add(-grace), e.At)
	s := h.soak
	s.mu.Lock()
	s.ends[reason]++
	s.worstKB = max(s.worstKB, e.PeakKB)
	s.mu.Unlock()
	if own || overdue {
		s.report("host %d: %s, after %s, peak %d MB\n  log: %s\n  standard error: %s", h.number, reason,
			e.At.Sub(e.Started).Round(time.Millisecond), e.PeakKB>>10, tail(h.log, 3), tail(h.log+".err", 12))
	}
}

// classify names the reason of an end, and tells whether the process ended by itself.
func (c cause) classify(e child.End) (reason string, own bool) {
	switch {
	case c.memory && e.Signal == syscall.SIGKILL:
		return "BY ITSELF: memory over the limit", true
	case c.overdue && e.Signal == syscall.SIGKILL:
		return "SIGKILL after SIGTERM and the grace period", false
	case c.kill && e.Signal == syscall.SIGKILL:
		return "SIGKILL", false
	case c.unloaded && e.Signal == syscall.SIGHUP:
		return "SIGHUP before the program was loaded", false
	case c.term && e.Signal == syscall.SIGTERM:
		return "SIGTERM before its handler", false
	case c.term && e.Signal == 0 && e.Code == 0:
		return "SIGTERM, exit 0", false
	case c.term:
		return "BY ITSELF after SIGTERM: " + e.String(), true
	}
	return "BY ITSELF: " + e.String(), true
}

// tail returns the last lines of a file.
func tail(name string, lines int) string {
	b, _ := os.ReadFile(name)
	list := strings.Split(strings.TrimSpace(string(b)), "\n")
	list = list[max(0, len(list)-lines):]
	return strings.Join(list, "\n    ")
}

// isReady asks as the platform's balancer does.
func (h *host) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.Ready+"/v1/ready", http.NoBody)
	if err != nil {
		return false
	}
	answer, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return false
	}
	answer.Body.Close()
	return answer.StatusCode == http.StatusOK
}
