//go:build wireinject

package host

import (
	"coltsfootloft"
	"coltsfootloft/core/conf"
	"coltsfootloft/io/store"

	"github.com/go-logr/logr"
	"github.com/google/wire"
	"github.com/jonboulle/clockwork"
)

var providers = wire.NewSet(
	provideStore,
	provideSelf,
	provideMembers,
	provideSource,
	provideCurrent,
	provideJournal,
	provideOpener,
	provideWatch,
	provideElect,
	provideLedger,
	provideLogin,
	providePools,
	provideRetries,
	provideEnv,
	provideFront,
	provideHost,
	wire.Bind(new(coltsfootloft.Store), new(*store.Consul)),
)

// Build makes a host from its process settings.
func Build(settings *conf.Host, clock clockwork.Clock, log logr.Logger) (*Host, error) {
	wire.Build(providers)
	return nil, nil
}
