package cmds

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"coltsfootloft/core/conf"
	"coltsfootloft/io/admin"
)

// maxAnswer bounds the bytes read of one answer.
const maxAnswer = 64 << 20

// adminFlags are the flags of commands that ask an admin port.
type adminFlags struct {
	tools *Tools
	admin string
}

func (a *adminFlags) set(f *flag.FlagSet) {
	address := a.tools.getenv(conf.EnvPrefix + "ADMIN")
	if address == "" {
		address = defaultAdmin
	}
	f.StringVar(&a.admin, "admin", address, "`address` of a host's admin port; by default "+conf.EnvPrefix+"ADMIN")
}

func (a *adminFlags) status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	return s, a.ask(ctx, http.MethodGet, "/v1/status", &s)
}

// ask calls a path of the admin port and decodes its answer.
func (a *adminFlags) ask(ctx context.Context, method, path string, to any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	base := a.admin
	if !strings.Contains(base, "://") {
		base = "http://" + base
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(base, "/")+path, http.NoBody)
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	client := a.tools.HTTP
	if client == nil {
		client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	}
	answer, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("admin port answered %s: %s", answer.Status, strings.TrimSpace(string(body)))
	}
	return errors.Wrap(json.Unmarshal(body, to), "admin port")
}
