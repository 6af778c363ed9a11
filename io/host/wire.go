//go:build wireinject

package host

import (
	"github.com/go-logr/logr"
	"github.com/google/wire"
	"github.com/jonboulle/clockwork"

	"coltsfootloft/core/conf"
)

var providers = wire.NewSet(
	provideCertificates,
	provideStore,
	provideSelf,
	provideRun,
	providePeerResolver,
	provideLinks,
	provideMembers,
	provideFeed,
	provideCurrentSettings,
	provideJournal,
	provideOpener,
	provideWatch,
	provideElect,
	provideLimiter,
	provideLogin,
	providePools,
	provideRetryBudgets,
	provideTracer,
	provideEnv,
	provideFront,
	provideHost,
)

// Build makes a host from its process settings.
func Build(settings *conf.Host, clock clockwork.Clock, log logr.Logger) (*Host, error) {
	wire.Build(providers)
	return nil, nil
}
