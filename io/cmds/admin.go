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

// maxResponse bounds the bytes read of one response, 64 MiB.
const maxResponse = 64 << 20

// adminFlags are the flags of commands that call an admin port.
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

// errOtherProgram is the error of a successful answer that no host gives.
var errOtherProgram = errors.New("admin port: the answer is not that of a host")

// status returns the status of the host.
func (a *adminFlags) status(ctx context.Context) (admin.Status, error) {
	var s admin.Status
	err := a.call(ctx, http.MethodGet, "/v1/status", &s)
	if err == nil && s.Host == "" {
		err = errOtherProgram
	}
	return s, err
}

// call requests a path of the admin port and decodes the JSON response into to. It
// returns an error for a response with a status of 300 and above.
func (a *adminFlags) call(ctx context.Context, method, path string, to any) error {
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
	response, err := client.Do(r)
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return errors.Wrap(err, "admin port")
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("admin port answered %s: %s", response.Status, strings.TrimSpace(string(body)))
	}
	return errors.Wrap(json.Unmarshal(body, to), "admin port")
}
