package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"coltsfootloft/stand/child"
	"coltsfootloft/stand/keyval"
	"coltsfootloft/stand/linedb"
	"coltsfootloft/stand/opset"
	"coltsfootloft/stand/relay"
)

// moves are the kinds of fault. Each returns when its effect is over, except for what a
// process does after a signal. What they choose depends on random alone.
var moves map[string]func(ctx context.Context, s *soak, random *rand.Rand)

func init() {
	moves = map[string]func(context.Context, *soak, *rand.Rand){
		"hup":      hangUp,
		"hupstart": hangUpStart,
		"term":     terminate,
		"kill":     kill,
		"herdkill": killMany,
		"stop":     suspend,
		"output":   closeOutput,
		"unread":   leaveOutput,
		"port":     takePort,
		"store":    impairStore,
		"link":     impairLink,
		"hostlink": impairHostLinks,
		"settings": storm,
		"keys":     moveKeys,
		"database": impairDatabase,
		"twice":    answerTwice,
		"errors":   answerErrors,
		"herd":     sendHerd,
		"odd":      writeOddEntry,
		"evacuate": evacuate,
		"takeover": takeOver,
	}
}

func allMoves() []string { return slices.Sorted(maps.Keys(moves)) }

// between returns a random time.
func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// rest waits for a time, or until ctx ends.
func rest(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// injectFaults makes moves in random order, one after the other or several at a time.
func (s *soak) injectFaults(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.duration)
	defer cancel()
	var wait sync.WaitGroup
	defer wait.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		kind := s.faults[s.random.IntN(len(s.faults))]
		random := rand.New(rand.NewPCG(s.seed, s.random.Uint64()))
		inSeries := s.random.IntN(3) == 0
		pause := between(s.random, 20*time.Millisecond, s.pause())
		done := make(chan struct{})
		wait.Go(func() {
			defer close(done)
			moves[kind](ctx, s, random)
		})
		if inSeries {
			<-done
		}
		rest(ctx, pause)
	}
}

// pause is the longest pause between two moves: each host has about one move in 6 s.
func (s *soak) pause() time.Duration {
	return max(40*time.Millisecond, 12*time.Second/time.Duration(len(s.hosts)))
}

func (s *soak) anyHost(random *rand.Rand) *host { return s.hosts[random.IntN(len(s.hosts))] }

func stopSignal(random *rand.Rand) syscall.Signal {
	return []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[random.IntN(2)]
}

func withProcess(h *host, f func(p *child.Process)) {
	if p := h.current(); p != nil {
		f(p)
	}
}

// hangUp sends SIGHUPs, half of the time beside a settings file that is written in pieces.
func hangUp(ctx context.Context, s *soak, random *rand.Rand) {
	h := s.anyHost(random)
	written := make(chan struct{})
	if random.IntN(2) == 0 {
		go h.rewrite(written)
	} else {
		close(written)
	}
	for range 1 + random.IntN(10) {
		withProcess(h, h.hangUp)
		rest(ctx, between(random, time.Millisecond, 30*time.Millisecond))
	}
	<-written
}

// hangUpStart starts a host again, with SIGHUPs in its first milliseconds.
func hangUpStart(_ context.Context, s *soak, random *rand.Rand) {
	s.anyHost(random).stop(stopSignal(random), plan{
		after:       between(random, 50*time.Millisecond, time.Second),
		hangups:     1 + random.IntN(30),
		hangupDelay: between(random, 0, 12*time.Millisecond),
	})
}

func terminate(_ context.Context, s *soak, random *rand.Rand) {
	s.anyHost(random).stop(syscall.SIGTERM, plan{after: between(random, 50*time.Millisecond, 2*time.Second)})
}

func kill(_ context.Context, s *soak, random *rand.Rand) {
	s.anyHost(random).stop(syscall.SIGKILL, plan{after: between(random, 50*time.Millisecond, 2*time.Second)})
}

// killMany kills up to half of the hosts at the same moment.
func killMany(ctx context.Context, s *soak, random *rand.Rand) {
	signal := syscall.SIGKILL
	if random.IntN(4) == 0 {
		signal = syscall.SIGTERM
	}
	for _, i := range random.Perm(len(s.hosts))[:1+random.IntN((len(s.hosts)+1)/2)] {
		s.hosts[i].stop(signal, plan{after: between(random, 50*time.Millisecond, 2*time.Second)})
	}
	rest(ctx, 3*time.Second)
}

func suspend(ctx context.Context, s *soak, random *rand.Rand) {
	h := s.anyHost(random)
	d := between(random, 100*time.Millisecond, 3*time.Second)
	withProcess(h, func(p *child.Process) {
		s.impair(h.number, d)
		p.Signal(syscall.SIGSTOP)
		defer p.Signal(syscall.SIGCONT)
		rest(ctx, d)
	})
}

func closeOutput(_ context.Context, s *soak, random *rand.Rand) {
	withProcess(s.anyHost(random), func(p *child.Process) { p.CloseOutput() })
}

func leaveOutput(ctx context.Context, s *soak, random *rand.Rand) {
	h := s.anyHost(random)
	d := between(random, 500*time.Millisecond, 5*time.Second)
	withProcess(h, func(p *child.Process) {
		p.HoldOutput(d)
		rest(ctx, d)
	})
}

// takePort lets another process have an address of a host as it starts again.
func takePort(_ context.Context, s *soak, random *rand.Rand) {
	s.anyHost(random).stop(stopSignal(random), plan{
		after:        between(random, 50*time.Millisecond, time.Second),
		taken:        between(random, 50*time.Millisecond, 2*time.Second),
		takenAddress: random.IntN(3),
	})
}

// impairStore has the store down, slow, losing answers, refusing hosts or without its history.
func impairStore(ctx context.Context, s *soak, random *rand.Rand) {
	d := between(random, 500*time.Millisecond, 4*time.Second)
	var f keyval.Faults
	switch random.IntN(6) {
	case 0:
		f.Down = true
	case 1:
		f.NoAnswers = true
	case 2:
		f.LoseAnswers = true
		f.ApplyDelay = between(random, 0, 2*time.Second)
	case 3:
		f.RefusedHosts = make(map[string]bool)
		for _, h := range s.hosts {
			f.RefusedHosts[h.ip] = random.IntN(3) == 0
		}
	case 4:
		delay := between(random, 20*time.Millisecond, 300*time.Millisecond)
		if delay > maxContactDelay {
			s.noteAway(d)
		}
		s.slowStore(ctx, d, delay)
		return
	default:
		s.store.Compact()
		return
	}
	if f.Down || f.NoAnswers || f.RefusedHosts != nil {
		s.noteAway(d)
	}
	s.store.SetFaults(f)
	rest(ctx, d)
	s.store.SetFaults(keyval.Faults{})
}

func (s *soak) slowStore(ctx context.Context, d, delay time.Duration) {
	for _, h := range s.hosts {
		s.way.From(h.ip).SetDelay(relay.Both, delay)
	}
	rest(ctx, d)
	for _, h := range s.hosts {
		s.way.From(h.ip).SetDelay(relay.Both, 0)
	}
}

// impairLink holds up or resets the way of some hosts to the store or to a database.
func impairLink(ctx context.Context, s *soak, random *rand.Rand) {
	g := s.groups[random.IntN(len(s.groups))]
	way := g.ways[random.IntN(len(g.ways))]
	if random.IntN(3) == 0 {
		way = s.way
	}
	d := between(random, 50*time.Millisecond, 3*time.Second)
	reset := random.IntN(3) == 0
	for range 1 + random.IntN(4) {
		h := s.anyHost(random)
		s.impair(h.number, d)
		r := way.From(h.ip)
		if reset {
			r.Cut(true)
			defer r.Cut(false)
		} else {
			r.Hold(relay.Both, true)
			defer r.Hold(relay.Both, false)
		}
	}
	rest(ctx, d)
}

// storm writes versions of the settings in quick succession.
func storm(ctx context.Context, s *soak, random *rand.Rand) {
	for range 1 + random.IntN(15) {
		extra := random.IntN(40)
		s.changeSettings(func(t *opset.Settings) {
			t.Routes = t.Routes[:len(s.groups)*len(routeKinds)]
			for i := range extra {
				t.Routes = append(t.Routes, t.Routes[i%len(routeKinds)])
				t.Routes[len(t.Routes)-1].Name = fmt.Sprintf("extra-%d", i)
				t.Routes[len(t.Routes)-1].Host = fmt.Sprintf("extra-%d", i)
			}
		})
		rest(ctx, between(random, time.Millisecond, 200*time.Millisecond))
	}
}

// moveKeys gives a key to another account, or takes it away for longer than it may work.
func moveKeys(ctx context.Context, s *soak, random *rand.Rand) {
	if random.IntN(2) == 0 {
		s.giveKey(roaming, 1+random.IntN(tenants-1))
		return
	}
	s.giveKey(passing, -1)
	rest(ctx, between(random, time.Second, 2*withdrawal))
	s.giveKey(passing, random.IntN(tenants))
}

// giveKey gives a key to one account alone, or to none if to is negative.
func (s *soak) giveKey(key string, to int) {
	s.changeSettings(func(t *opset.Settings) {
		account := ""
		for i := range t.Tenants {
			n := &t.Tenants[i]
			n.ApiKeys = slices.DeleteFunc(slices.Clone(n.ApiKeys), func(k string) bool { return k == key })
			if i == to {
				n.ApiKeys = append(n.ApiKeys, key)
				account = n.Name
			}
		}
		s.record.Give(key, account)
	})
}

// writeOddEntry leaves an odd value in any folder of the store, or over a key that it holds, or removes such
// a key.
func writeOddEntry(_ context.Context, s *soak, random *rand.Rand) {
	key := opset.Folders[random.IntN(len(opset.Folders))] + fmt.Sprintf("odd-%d", random.IntN(5))
	value := opset.OddValues[random.IntN(len(opset.OddValues))]
	if keys := opset.ForeignKeys(s.store.Keys()); len(keys) > 0 && random.IntN(4) > 0 {
		key = keys[random.IntN(len(keys))]
		if random.IntN(4) == 0 {
			s.store.Remove(key)
			return
		}
	}
	s.store.Put(key, []byte(value))
}

// impairDatabase takes a database down, half of the time the primary, has it slow, or has it lose answers.
func impairDatabase(ctx context.Context, s *soak, random *rand.Rand) {
	g := s.groups[random.IntN(len(s.groups))]
	id := g.ids[random.IntN(len(g.ids))]
	if random.IntN(2) == 0 {
		id = g.Primary()
	}
	d := between(random, 200*time.Millisecond, 6*time.Second)
	switch random.IntN(4) {
	case 0:
		g.LoseAnswers(id, 1+random.IntN(20))
		return
	case 1:
		wait := between(random, 10*time.Millisecond, 300*time.Millisecond)
		g.SetHook(id, func() { time.Sleep(wait) })
		defer g.SetHook(id, nil)
	default:
		g.kill(id, d)
	}
	rest(ctx, d)
}

// answerTwice has a database answer twice, the second time up to some hundred ms late.
func answerTwice(ctx context.Context, s *soak, random *rand.Rand) {
	s.impairAnswers(ctx, random, linedb.Faults{
		Seed:  random.Uint64(),
		Twice: []float64{0.05, 0.3, 1}[random.IntN(3)],
		Delay: between(random, 0, 400*time.Millisecond),
	})
}

// answerErrors has a database answer statements with errors, some of which have run.
func answerErrors(ctx context.Context, s *soak, random *rand.Rand) {
	s.impairAnswers(ctx, random, linedb.Faults{
		Seed:   random.Uint64(),
		Errors: []float64{0.05, 0.3}[random.IntN(2)],
		Codes:  []string{"BUSY", "FAILED", "TIMEOUT"}[:1+random.IntN(3)],
		Delay:  between(random, 0, 400*time.Millisecond),
	})
}

func (s *soak) impairAnswers(ctx context.Context, random *rand.Rand, f linedb.Faults) {
	g := s.groups[random.IntN(len(s.groups))]
	id := g.ids[random.IntN(len(g.ids))]
	if random.IntN(2) == 0 {
		id = g.Primary()
	}
	g.SetFaults(id, f)
	rest(ctx, between(random, 200*time.Millisecond, 4*time.Second))
	g.SetFaults(id, linedb.Faults{})
}

// endFaults ends the faults that moves may have left.
func (s *soak) endFaults() {
	s.store.SetFaults(keyval.Faults{})
	for _, h := range s.hosts {
		withProcess(h, func(p *child.Process) { p.Signal(syscall.SIGCONT) })
		_ = os.WriteFile(h.file, h.text(), 0o600)
	}
}
