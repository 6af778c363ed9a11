package host

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
	"time"

	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/core/journ"
	"coltsfootloft/io/caller"
	"coltsfootloft/io/dbops"
	"coltsfootloft/io/dial"
	"coltsfootloft/io/elect"
	"coltsfootloft/io/front"
	"coltsfootloft/io/pool"
	"coltsfootloft/io/share"
	"coltsfootloft/io/store"
	"coltsfootloft/io/watch"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
)

// SettingsPrefix is where the store keeps the fleet's settings.
const SettingsPrefix = "coltsfootloft/settings/"

func provideStore(settings *conf.Host) (*store.Consul, error) {
	return &store.Consul{
		Addresses: []string{settings.Store()},
		Dial:      dial.From(settings.Peer(), connectTimeout),
	}, nil
}

func provideSelf(settings *conf.Host) coltsfootloft.HostRecord {
	return coltsfootloft.NewHost(settings.Name(), settings.Domain(), settings.Peer())
}

func provideCurrent() *current { return &current{} }

func provideWatch(clock clockwork.Clock, log logr.Logger, self coltsfootloft.HostRecord, open opener) *watch.Watcher {
	return &watch.Watcher{
		Clock: clock,
		Log:   log.WithName("watch"),
		Self:  self,
		Open:  open,
	}
}

// connectTimeout bounds the opening of connections to the platform.
const connectTimeout = 2 * time.Second

// opener opens the platform's interface to a database.
type opener func(u coltsfootloft.Upstream) coltsfootloft.Database

func provideOpener(settings *conf.Host) opener {
	from := dial.From(settings.Peer(), 0)
	return func(u coltsfootloft.Upstream) coltsfootloft.Database {
		return &dbops.Database{
			Address: u.Address(),
			Dial:    from,
		}
	}
}

func provideElect(clock clockwork.Clock, log logr.Logger, self coltsfootloft.HostRecord, m coltsfootloft.Members, w *watch.Watcher, j *journ.Journal, open opener) (*elect.Duty, error) {
	run, err := newRun()
	if err != nil {
		return nil, err
	}
	return &elect.Duty{
		Clock:       clock,
		Log:         log.WithName("elect"),
		Self:        self,
		Incarnation: run,
		Members:     m,
		Source:      w,
		Open:        open,
		Journal:     noteElection(j),
	}, nil
}

// noteElection writes an event of the election duty to the journal.
func noteElection(j *journ.Journal) func(event string, keyvals ...any) {
	return func(event string, keyvals ...any) {
		reason := event
		for i := 0; i+1 < len(keyvals); i += 2 {
			reason += fmt.Sprintf(" %v=%v", keyvals[i], keyvals[i+1])
		}
		j.Note(journ.Decided(journ.Promoted, reason))
	}
}

func provideJournal(clock clockwork.Clock) *journ.Journal { return &journ.Journal{Clock: clock} }

// newRun returns a name unique to this run of the process.
func newRun() (string, error) {
	b := make([]byte, 6)
	_, err := rand.Read(b)
	return hex.EncodeToString(b), errors.Wrap(err, "random name")
}

func provideLedger(clock clockwork.Clock, log logr.Logger) *share.Ledger {
	return &share.Ledger{
		Clock: clock,
		Log:   log.WithName("share"),
	}
}

func provideLogin(settings *conf.Host) (pool.Login, error) {
	l := pool.Login{
		User: settings.UpstreamUser(),
		Dial: dial.From(settings.Peer(), 0),
	}
	if settings.UpstreamPasswordFile() == "" {
		return l, nil
	}
	b, err := os.ReadFile(settings.UpstreamPasswordFile())
	l.Password = strings.TrimSpace(string(b))
	return l, errors.Wrap(err, "upstream password")
}

func providePools(c *current, login pool.Login, ledger *share.Ledger, clock clockwork.Clock, log logr.Logger) *pools {
	return &pools{
		login:  login,
		shares: ledger,
		weight: func(account string) int { return c.Fleet().Weight(account) },
		clock:  clock,
		log:    log.WithName("pool"),
	}
}

func provideRetries(c *current, clock clockwork.Clock) *retries {
	return &retries{
		clock: clock,
		share: func() float64 { return c.Fleet().Defaults().RetryBudget() },
	}
}

func provideEnv(settings *conf.Host, c *current, w *watch.Watcher, m coltsfootloft.Members, l *share.Ledger, p *pools, r *retries, j *journ.Journal, clock clockwork.Clock, log logr.Logger) *caller.Env {
	return &caller.Env{
		Domain:  settings.Domain(),
		Groups:  w,
		Members: m,
		Shares:  l,
		Fleet:   c.Fleet,
		Pool:    p.get,
		Retry:   r,
		Journal: j,
		Clock:   clock,
		Log:     log.WithName("caller"),
	}
}

func provideFront(settings *conf.Host, env *caller.Env, clock clockwork.Clock, log logr.Logger) *front.Server {
	return &front.Server{
		Name:   settings.Name(),
		Listen: settings.Listen(),
		Env:    env,
		Clock:  clock,
		Log:    log.WithName("front"),
	}
}

func provideHost(settings *conf.Host, clock clockwork.Clock, log logr.Logger, source Source, m coltsfootloft.Members, j *journ.Journal, w *watch.Watcher, e *elect.Duty, l *share.Ledger, f *front.Server, c *current, p *pools) *Host {
	return &Host{
		Settings: settings,
		Clock:    clock,
		Log:      log,
		Source:   source,
		Members:  m,
		Journal:  j,
		Watch:    w,
		Elect:    e,
		Ledger:   l,
		Front:    f,
		current:  c,
		pools:    p,
		ready:    make(chan struct{}),
		leave:    make(chan struct{}),
	}
}
