// Package duty gives a duty to one host at a time.
//
// The holder holds a key of the store under its lease; the revision of the key's
// creation is its fencing token, which grows from holder to holder. Hosts try for a
// free duty in rendezvous order, each a little after the one before, so that a
// duty changes hands seldom and without a race.
package duty

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/rank"
	"coltsfootloft/io/mirror"
	"coltsfootloft/io/pause"
	"coltsfootloft/io/tenure"
)

const (
	// step is the delay of each further rank: some answers of the store.
	step = 60 * time.Millisecond
	// mostSteps bounds the delay.
	mostSteps = 10
	// sizePower is how strongly duties go to large hosts. A keeper of rates takes a
	// quarter of a processor in a rush: with a power of three, one of 140 hosts of
	// 0.134 to 0.8 processors is of the largest kind nine times in ten.
	sizePower = 3
	// retryPause is the wait after a failed try.
	retryPause = 200 * time.Millisecond
	// lookEvery is how often a held duty is looked at without a change: the
	// lease may run out without one.
	lookEvery = time.Second
)

// Duty is one duty, as this host sees it. Its fields are set before Run.
type Duty struct {
	// Name is the duty's.
	Name string
	// Self is this host's name.
	Self string
	// Store is the platform's.
	Store coltsfootloft.KeyValue
	// Mirror is the host's copy of it.
	Mirror *mirror.Mirror
	// Tenure is the lease that the key is held by.
	Tenure *tenure.Tenure
	// Clock counts suspensions.
	Clock coltsfootloft.Clock
	// Log takes a line when the duty is taken or lost.
	Log logr.Logger

	mu      sync.Mutex
	session string
	fence   uint64
	since   time.Duration
}

// Holds returns the fencing token if this host has the duty now.
func (d *Duty) Holds() (fence uint64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fence == 0 || d.Tenure.Session() != d.session || !d.Tenure.Valid() {
		return 0, false
	}
	return d.fence, true
}

// Since is when this host took the duty.
func (d *Duty) Since() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.since
}

// Holder returns the host that has the duty, as far as this host knows.
func (d *Duty) Holder() (host string, ok bool) {
	h, ok := d.Mirror.View().Duties[d.Name]
	return h.Host, ok
}

// Run tries for the duty whenever it is free, until ctx ends.
func (d *Duty) Run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.Mirror.Changed()
		if _, held := d.Mirror.View().Duties[d.Name]; held || !d.Tenure.Valid() {
			pause.Until(ctx, changed, lookEvery)
			continue
		}
		if !d.turn(ctx) {
			continue
		}
		if err := d.take(ctx); err != nil {
			d.Log.V(1).Info("duty not taken", "duty", d.Name, "reason", err.Error())
			pause.For(ctx, retryPause)
		}
	}
}

// turn waits for this host's turn; false if the duty was taken meanwhile.
func (d *Duty) turn(ctx context.Context) bool {
	v := d.Mirror.View()
	order := rank.Sized("duty/"+d.Name, v.HostNames(), func(host string) float64 {
		return math.Pow(v.SizeOf(host), sizePower)
	})
	place := slices.Index(order, d.Self)
	if place < 0 {
		place = mostSteps
	}
	pause.For(ctx, time.Duration(min(place, mostSteps))*step)
	_, held := d.Mirror.View().Duties[d.Name]
	return !held && d.Tenure.Valid() && ctx.Err() == nil
}

func (d *Duty) take(ctx context.Context) error {
	session := d.Tenure.Session()
	revision, err := d.Store.Apply(ctx, []coltsfootloft.Change{
		coltsfootloft.Put(mirror.DutyKey(d.Name), []byte(d.Self), 0).Locked(session),
	})
	if errors.Is(err, coltsfootloft.ErrOutcomeUnknown) {
		revision, err = d.check(ctx)
	}
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.session = session
	d.fence = revision
	d.since = d.Clock.Elapsed()
	d.mu.Unlock()
	d.Log.Info("duty taken", "duty", d.Name, "fence", revision)
	return errors.Wrap(d.Mirror.Await(ctx, revision), "see the duty taken")
}

// check reads whether a try without an answer has succeeded. A key of this host's
// can only be of this run: the end of an earlier run's lease has removed the rest.
func (d *Duty) check(ctx context.Context) (uint64, error) {
	e, err := d.Store.Read(ctx, mirror.DutyKey(d.Name))
	if err != nil {
		return 0, err
	}
	if string(e.Value()) != d.Self {
		return 0, coltsfootloft.ErrConflict
	}
	return e.Version(), nil
}
