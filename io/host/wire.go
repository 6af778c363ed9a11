//go:build wireinject

package host

import (
	"coltsfootloft/core/conf"

	"github.com/go-logr/logr"
	"github.com/google/wire"
	"github.com/jonboulle/clockwork"
)

// Build makes a host from its process settings.
func Build(settings *conf.Host, clock clockwork.Clock, log logr.Logger) (*Host, error) {
	wire.Build(providers)
	return nil, nil
}
