package conf_test

import (
	"flag"
	"io"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootloft"
	"coltsfootloft/core/conf"
)

const hostFile = `{
	"name": "entry-1", // as in the inventory
	"domain": "a",
	"listen": "0.0.0.0:5432",
	"peer": "10.0.0.1:7432",
	"store": "http://10.0.0.100:8500/",
	"peers": ["h2@d2=10.0.0.2:7432", "h3@d3=10.0.0.3:7432"],
	"trace_fraction": 0.5,
}`

func load(t *testing.T, file string, environ, args []string) (*conf.Host, conf.Problems) {
	t.Helper()
	l := &conf.Loader{
		Environ: func() []string { return environ },
		ReadFile: func(name string) ([]byte, error) {
			if name != "host.jsonc" {
				return nil, os.ErrNotExist
			}
			return []byte(file), nil
		},
	}
	f := flag.NewFlagSet("serve", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	l.SetFlags(f)
	assert.NilError(t, f.Parse(args))
	return l.Load()
}

func TestHostTakesFlagThenEnvironmentThenFile(t *testing.T) {
	h, problems := load(t, hostFile,
		[]string{"COLTSFOOTLOFT_SETTINGS=host.jsonc", "COLTSFOOTLOFT_DOMAIN=b", "COLTSFOOTLOFT_NAME=entry-2", "HOME=/x"},
		[]string{"-name", "entry-3", "-log-format=json"})
	assert.Equal(t, problems.String(), "")
	assert.Equal(t, h.Name(), "entry-3")
	assert.Equal(t, h.Domain(), "b")
	assert.Equal(t, h.Listen(), "0.0.0.0:5432")
	assert.Equal(t, h.Admin(), "127.0.0.1:9080")
	assert.Equal(t, h.Store(), "http://10.0.0.100:8500")
	assert.Equal(t, len(h.Peers()), 2)
	assert.Equal(t, h.Peers()[0], coltsfootloft.NewHost("h2", "d2", "10.0.0.2:7432"))
	assert.Equal(t, h.Peers()[1], coltsfootloft.NewHost("h3", "d3", "10.0.0.3:7432"))
	assert.Equal(t, h.LogFormat(), "json")
	assert.Equal(t, h.LogLevel(), "info")
	assert.Equal(t, h.TraceFraction(), 0.5)
	assert.Equal(t, h.UpstreamUser(), "coltsfootloft")
	assert.Assert(t, h.CallerTLS().IsZero() && h.PeerTLS().IsZero())
}

func TestHostProblems(t *testing.T) {
	const minimum = `"name": "e", "domain": "a", "listen": "127.0.0.1:0", "peer": "10.0.0.1:0", "store": "http://10.0.0.1:8500"`
	for _, c := range []struct {
		name    string
		file    string
		environ []string
		args    []string
		want    []string
	}{
		{
			name: "unknown field and bad value in the file",
			file: "{" + minimum + ",\n\t\"Trace\": \"\",\n\t\"log_level\": \"loud\"}",
			want: []string{
				`host.jsonc:2:2: found unknown field "Trace"; accepted: the fields name, domain,`,
				`host.jsonc:3:15: found "loud" as log_level; accepted: error, info or debug`,
			},
		},
		{
			name: "host names in place of IP numbers",
			file: "{" + minimum + "}",
			args: []string{"-store=http://consul:8500", "-peers", "h2@d2=10.0.0.2:7432,h3@d3=other:1", "-peer=0.0.0.0:1", "-trace=udp://10.0.0.1:1"},
			want: []string{
				`flag -peer: found "0.0.0.0:1" as peer; accepted: an IP number and port, such as "10.0.0.1:5432", or port 0 for a free one; not 0.0.0.0 or ::`,
				`flag -store: found "http://consul:8500" as store; accepted: a URL with an IP number and port, such as "http://10.0.0.1:8500"`,
				`flag -peers: found "h2@d2=10.0.0.2:7432,h3@d3=other:1" as peers; accepted: a list of NAME@DOMAIN=IP:PORT`,
				`flag -trace: found "udp://10.0.0.1:1" as trace; accepted: "file:PATH"`,
			},
		},
		{
			name:    "environment",
			file:    "{" + minimum + "}",
			environ: []string{"COLTSFOOTLOFT_LISTENS=1", "COLTSFOOTLOFT_TRACE_FRACTION=2"},
			want: []string{
				`variable COLTSFOOTLOFT_LISTENS: found a variable that is no setting`,
				`variable COLTSFOOTLOFT_TRACE_FRACTION: found "2" as trace_fraction; accepted: a number from 0 to 1`,
			},
		},
		{
			name: "missing",
			file: `{"name": "e", "domain": "a", "listen": "127.0.0.1:0", "peer": "10.0.0.1:0"}`,
			want: []string{`process settings: found no store; accepted: a URL with an IP number and port, such as "http://10.0.0.1:8500", ` +
				`by flag -store, variable COLTSFOOTLOFT_STORE or field "store"`},
		},
		{
			name: "halves of TLS",
			file: "{" + minimum + `, "caller_key": "k", "require_tls": true, "peer_ca": "c"}`,
			want: []string{
				`process settings: found only one of caller_cert and caller_key; accepted: both or none`,
				`process settings: found require_tls without caller_cert`,
				`process settings: found some of peer_ca, peer_cert and peer_key; accepted: all three or none`,
			},
		},
		{
			name: "broken file",
			file: "{\n",
			args: []string{"-name=e", "-domain=a", "-listen=127.0.0.1:0", "-peer=127.0.0.1:0", "-store=http://127.0.0.1:1"},
			want: []string{`host.jsonc:2:1: found broken syntax (parsing value: unexpected EOF); accepted: JSON with comments`},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, problems := load(t, c.file, c.environ, append([]string{"-settings=host.jsonc"}, c.args...))
			lines := strings.Split(problems.String(), "\n")
			assert.Equal(t, len(lines), len(c.want), "%s", problems)
			for i, l := range lines {
				assert.Assert(t, strings.HasPrefix(l, c.want[i]), "%s", l)
			}
		})
	}
}
