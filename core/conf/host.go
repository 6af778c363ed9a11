package conf

import "coltsfootloft"

// Host is what one process is told about itself: its addresses, its failure
// domain and where to find the rest. It is read by a [Loader].
type Host struct {
	name            string
	domain          string
	listen          string
	peer            string
	peerListen      string
	admin           string
	store           string
	peers           []coltsfootloft.HostRecord
	upstreamUser    string
	upstreamPass    string
	callerTLS       TLSFiles
	requireTLS      bool
	upstreamTLS     TLSFiles
	upstreamAnyName bool
	peerTLS         TLSFiles
	memoryLimit     int64
	logFormat       string
	logLevel        string
	trace           string
	traceFraction   float64
}

// TLSFiles names the files of one TLS role, in PEM.
type TLSFiles struct {
	certificate string
	key         string
	authorities string
}

// NewTLSFiles returns the names of a certificate chain, its key, and the authorities
// that the other side's certificate must come from. Each may be empty.
func NewTLSFiles(certificate, key, authorities string) TLSFiles {
	return TLSFiles{
		certificate: certificate,
		key:         key,
		authorities: authorities,
	}
}

// Certificate is the file of the own certificate chain; empty without one.
func (f TLSFiles) Certificate() string { return f.certificate }

// Key is the file of the own private key; empty without a certificate.
func (f TLSFiles) Key() string { return f.key }

// Authorities is the file of the certificates that the other side's must be
// signed by; empty to check none.
func (f TLSFiles) Authorities() string { return f.authorities }

// IsZero reports whether the role has no TLS.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// Name is unique in the fleet.
func (h *Host) Name() string { return h.name }

// Domain is the failure domain.
func (h *Host) Domain() string { return h.domain }

// Listen is the IP:port for callers. Port 0 takes a free one.
func (h *Host) Listen() string { return h.listen }

// Peer is the IP:port for other hosts, as they reach it. Port 0 takes a free one.
func (h *Host) Peer() string { return h.peer }

// PeerListen is the IP:port to listen on for other hosts: Peer, unless addresses
// are translated on the way.
func (h *Host) PeerListen() string {
	if h.peerListen == "" {
		return h.peer
	}
	return h.peerListen
}

// Admin is the IP:port for operators and monitoring. Port 0 takes a free one.
func (h *Host) Admin() string { return h.admin }

// Store is the base URL of the platform's store.
func (h *Host) Store() string { return h.store }

// Peers are other hosts, to start from when the store can't be reached.
func (h *Host) Peers() []coltsfootloft.HostRecord { return h.peers }

// UpstreamUser is the user name for databases.
func (h *Host) UpstreamUser() string { return h.upstreamUser }

// UpstreamPasswordFile holds the password for databases; empty for none.
func (h *Host) UpstreamPasswordFile() string { return h.upstreamPass }

// CallerTLS are the files for connections from callers.
func (h *Host) CallerTLS() TLSFiles { return h.callerTLS }

// RequireTLS reports whether callers without TLS are refused.
func (h *Host) RequireTLS() bool { return h.requireTLS }

// UpstreamTLS are the files for connections to databases.
func (h *Host) UpstreamTLS() TLSFiles { return h.upstreamTLS }

// UpstreamAnyName reports whether a database's certificate is accepted whatever
// address it is for, as long as it comes from the authorities.
func (h *Host) UpstreamAnyName() bool { return h.upstreamAnyName }

// PeerTLS are the files for connections between hosts, in both directions.
func (h *Host) PeerTLS() TLSFiles { return h.peerTLS }

// MemoryLimit is how many bytes the process should keep to; 0 for no limit.
func (h *Host) MemoryLimit() int64 { return h.memoryLimit }

// LogFormat is text or json.
func (h *Host) LogFormat() string { return h.logFormat }

// LogLevel is error, info or debug.
func (h *Host) LogLevel() string { return h.logLevel }

// Trace is where spans go: a file as file:PATH, an OTLP receiver as its base URL,
// or nowhere if empty.
func (h *Host) Trace() string { return h.trace }

// TraceFraction is the part of statements that are traced without a caller's
// asking, from 0 to 1.
func (h *Host) TraceFraction() float64 { return h.traceFraction }
