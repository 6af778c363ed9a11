package conf

import (
	"net/netip"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"coltsfootloft"
)

// hostSetting is one process setting. Its flag is the name with - in place of _, its
// environment variable is the upper-case name after [EnvPrefix], and its field in a file
// is the name itself.
type hostSetting struct {
	name         string
	usage        string
	accepted     string
	defaultValue string
	required     bool
	list         bool
	set          func(h *Host, values []string) bool
}

const (
	acceptedListen = "an IP number and port, such as \"10.0.0.1:5432\", or port 0 for a free one"
	acceptedFile   = "the name of a file"
	acceptedStore  = "a URL with an IP number and port, such as \"http://10.0.0.1:8500\""
	acceptedTrace  = "\"file:PATH\", or a URL with an IP number and port, such as \"http://10.0.0.1:4318\", or nothing"
	acceptedPeer   = "a list of NAME@DOMAIN=IP:PORT, such as \"host-2@domain-b=10.0.0.2:7000\""
	acceptedUser   = "a user name of 1 to 63 characters without control characters"
)

// hostSettings are all process settings, in the order in which operators see them.
var hostSettings = []hostSetting{
	{
		name:     "name",
		usage:    "name of this host, unique in the fleet",
		accepted: acceptedName,
		required: true,
		set: single(func(h *Host, s string) bool {
			h.name = s
			return nameForm.MatchString(s)
		}),
	},
	{
		name:     "domain",
		usage:    "failure domain of this host",
		accepted: acceptedName,
		required: true,
		set: single(func(h *Host, s string) bool {
			h.domain = s
			return nameForm.MatchString(s)
		}),
	},
	{
		name:     "listen",
		usage:    "IP:port for callers",
		accepted: acceptedListen,
		required: true,
		set: single(func(h *Host, s string) bool {
			h.listen = s
			return isListen(s)
		}),
	},
	{
		name:     "peer",
		usage:    "IP:port for other hosts, as they reach it",
		accepted: acceptedListen + "; not 0.0.0.0 or ::",
		required: true,
		set: single(func(h *Host, s string) bool {
			h.peer = s
			return isListen(s) && !isUnspecified(s)
		}),
	},
	{
		name:     "peer_listen",
		usage:    "IP:port to listen on for other hosts, where that differs from peer",
		accepted: acceptedListen,
		set: single(func(h *Host, s string) bool {
			h.peerListen = s
			return isListen(s)
		}),
	},
	{
		name:         "admin",
		usage:        "IP:port for operators and monitoring",
		accepted:     acceptedListen,
		defaultValue: "127.0.0.1:9080",
		set: single(func(h *Host, s string) bool {
			h.admin = s
			return isListen(s)
		}),
	},
	{
		name:     "store",
		usage:    "base URL of the platform's store",
		accepted: acceptedStore,
		required: true,
		set: single(func(h *Host, s string) bool {
			h.store = strings.TrimSuffix(s, "/")
			return isURL(s)
		}),
	},
	{
		name:     "peers",
		usage:    "other hosts to start from while the store is down",
		accepted: acceptedPeer,
		list:     true,
		set: func(h *Host, values []string) bool {
			h.peers = nil
			for _, v := range values {
				r, ok := parsePeer(v)
				if !ok {
					return false
				}
				h.peers = append(h.peers, r)
			}
			return true
		},
	},
	{
		name:         "upstream_user",
		usage:        "user name for databases",
		accepted:     acceptedUser,
		defaultValue: "coltsfootloft",
		set: single(func(h *Host, s string) bool {
			h.upstreamUser = s
			_, ok := parseDatabase(s)
			return ok
		}),
	},
	{
		name:     "upstream_password_file",
		usage:    "file with the password for databases",
		accepted: acceptedFile,
		set: single(func(h *Host, s string) bool {
			h.upstreamPass = s
			return true
		}),
	},
	fileSetting("caller_cert", "certificate chain shown to callers",
		func(h *Host) *string { return &h.callerTLS.certificate }),
	fileSetting("caller_key", "private key of caller_cert",
		func(h *Host) *string { return &h.callerTLS.key }),
	{
		name:         "require_tls",
		usage:        "refuse callers without TLS",
		accepted:     "true or false",
		defaultValue: "false",
		set: single(func(h *Host, s string) bool {
			h.requireTLS = s == "true"
			return s == "true" || s == "false"
		}),
	},
	fileSetting("upstream_ca", "authorities of the databases' certificates; TLS to databases if set",
		func(h *Host) *string { return &h.upstreamTLS.authorities }),
	fileSetting("upstream_cert", "certificate chain shown to databases",
		func(h *Host) *string { return &h.upstreamTLS.certificate }),
	fileSetting("upstream_key", "private key of upstream_cert",
		func(h *Host) *string { return &h.upstreamTLS.key }),
	{
		name:         "upstream_verify",
		usage:        "check of a database's certificate: full, or authority to accept it for any address",
		accepted:     "full or authority",
		defaultValue: "full",
		set: single(func(h *Host, s string) bool {
			h.upstreamAnyName = s == "authority"
			return s == "full" || s == "authority"
		}),
	},
	fileSetting("peer_ca", "authorities of the hosts' certificates",
		func(h *Host) *string { return &h.peerTLS.authorities }),
	fileSetting("peer_cert", "certificate chain shown to other hosts",
		func(h *Host) *string { return &h.peerTLS.certificate }),
	fileSetting("peer_key", "private key of peer_cert",
		func(h *Host) *string { return &h.peerTLS.key }),
	{
		name:         "memory_limit",
		usage:        "memory in MiB that the process keeps to by collecting garbage more often; 0 for no limit",
		accepted:     "a whole number of MiB, 0 or at least 64",
		defaultValue: "200",
		set: single(func(h *Host, s string) bool {
			n, err := strconv.Atoi(s)
			h.memoryLimit = int64(n) << 20
			return err == nil && (n == 0 || n >= 64)
		}),
	},
	{
		name:         "message_memory",
		usage:        "memory in MiB for what callers make the process hold; 0 for no limit",
		accepted:     "a whole number of MiB, 0 or at least 16",
		defaultValue: "128",
		set: single(func(h *Host, s string) bool {
			n, err := strconv.Atoi(s)
			h.messageMemory = int64(n) << 20
			return err == nil && (n == 0 || n >= 16)
		}),
	},
	{
		name:         "max_sessions",
		usage:        "greatest number of connections from callers",
		accepted:     "a whole number from 1 to 65536",
		defaultValue: "65536",
		set: single(func(h *Host, s string) bool {
			n, err := strconv.Atoi(s)
			h.maxSessions = n
			return err == nil && n >= 1 && n <= 65536
		}),
	},
	{
		name:         "log_format",
		usage:        "text or json",
		accepted:     "text or json",
		defaultValue: "text",
		set: single(func(h *Host, s string) bool {
			h.logFormat = s
			return s == "text" || s == "json"
		}),
	},
	{
		name:         "log_level",
		usage:        "error, info or debug",
		accepted:     "error, info or debug",
		defaultValue: "info",
		set: single(func(h *Host, s string) bool {
			h.logLevel = s
			return slices.Contains([]string{"error", "info", "debug"}, s)
		}),
	},
	{
		name:     "trace",
		usage:    "where spans go: file:PATH or the base URL of an OTLP receiver",
		accepted: acceptedTrace,
		set: single(func(h *Host, s string) bool {
			h.trace = s
			return isTrace(s)
		}),
	},
	{
		name:         "trace_fraction",
		usage:        "fraction of statements that are traced without a request by the caller, 0 to 1",
		accepted:     "a number from 0 to 1",
		defaultValue: "0.01",
		set: single(func(h *Host, s string) bool {
			n, err := strconv.ParseFloat(s, 64)
			h.traceFraction = n
			return err == nil && n >= 0 && n <= 1
		}),
	},
}

func fileSetting(name, usage string, to func(h *Host) *string) hostSetting {
	return hostSetting{
		name:     name,
		usage:    "file in PEM: " + usage,
		accepted: acceptedFile,
		set: single(func(h *Host, s string) bool {
			*to(h) = s
			return true
		}),
	}
}

func single(set func(h *Host, s string) bool) func(h *Host, values []string) bool {
	return func(h *Host, values []string) bool { return len(values) == 1 && set(h, values[0]) }
}

func isListen(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}

func isUnspecified(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Addr().IsUnspecified()
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.User != nil || u.RawQuery != "" {
		return false
	}
	_, ok := parseAddress(u.Host)
	return ok
}

func isTrace(s string) bool {
	f, ok := strings.CutPrefix(s, "file:")
	return s == "" || ok && f != "" || isURL(s)
}

// parsePeer reads NAME@DOMAIN=IP:PORT.
func parsePeer(s string) (coltsfootloft.HostRecord, bool) {
	who, address, ok := strings.Cut(s, "=")
	name, domain, named := strings.Cut(who, "@")
	if !ok || !named || name == "" || domain == "" {
		return coltsfootloft.HostRecord{}, false
	}
	if _, ok := parseAddress(address); !ok {
		return coltsfootloft.HostRecord{}, false
	}
	return coltsfootloft.NewHost(name, domain, address), true
}
