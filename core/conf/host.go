package conf

import "coltsfootloft"

// Host holds the process settings of one host: its addresses, its failure domain and
// the addresses of the systems that it uses. It is read by a [Loader].
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
	messageMemory   int64
	maxSessions     int
	logFormat       string
	logLevel        string
	trace           string
	traceFraction   float64
}

// TLSFiles holds the names of the PEM files for one TLS role.
type TLSFiles struct {
	certificate string
	key         string
	authorities string
}

// NewTLSFiles returns the names of the files with a certificate chain, its private key,
// and the certificate authorities that must have issued the other side's certificate.
// Each may be empty.
func NewTLSFiles(certificate, key, authorities string) TLSFiles {
	return TLSFiles{
		certificate: certificate,
		key:         key,
		authorities: authorities,
	}
}

// Certificate is the file with this side's certificate chain; empty if there is none.
func (f TLSFiles) Certificate() string { return f.certificate }

// Key is the file with the private key of the certificate; empty if there is none.
func (f TLSFiles) Key() string { return f.key }

// Authorities is the file with the certificate authorities that must have signed the
// other side's certificate; empty if that certificate is not verified.
func (f TLSFiles) Authorities() string { return f.authorities }

// IsZero reports whether the role has no TLS.
func (f TLSFiles) IsZero() bool { return f == TLSFiles{} }

// Name is unique in the fleet.
func (h *Host) Name() string { return h.name }

// Domain is the failure domain.
func (h *Host) Domain() string { return h.domain }

// Listen is the IP:port for callers. Port 0 selects a free one.
func (h *Host) Listen() string { return h.listen }

// Peer is the IP:port at which other hosts reach this one. Port 0 selects a free one.
func (h *Host) Peer() string { return h.peer }

// PeerListen is the IP:port to listen on for other hosts. It is Peer unless addresses
// are translated between the hosts.
func (h *Host) PeerListen() string {
	if h.peerListen == "" {
		return h.peer
	}
	return h.peerListen
}

// Admin is the IP:port for operators and monitoring. Port 0 selects a free one.
func (h *Host) Admin() string { return h.admin }

// Store is the base URL of the platform's store.
func (h *Host) Store() string { return h.store }

// Peers returns other hosts to contact at startup when the store can't be reached.
func (h *Host) Peers() []coltsfootloft.HostRecord { return h.peers }

// UpstreamUser is the user name for connections to databases.
func (h *Host) UpstreamUser() string { return h.upstreamUser }

// UpstreamPasswordFile is the file with the password for connections to databases;
// empty for none.
func (h *Host) UpstreamPasswordFile() string { return h.upstreamPass }

// CallerTLS are the files for connections from callers.
func (h *Host) CallerTLS() TLSFiles { return h.callerTLS }

// RequireTLS reports whether callers without TLS are refused.
func (h *Host) RequireTLS() bool { return h.requireTLS }

// UpstreamTLS are the files for connections to databases.
func (h *Host) UpstreamTLS() TLSFiles { return h.upstreamTLS }

// UpstreamAnyName reports whether a database's certificate is accepted for any address,
// if it is signed by the authorities.
func (h *Host) UpstreamAnyName() bool { return h.upstreamAnyName }

// PeerTLS are the files for connections between hosts, in both directions.
func (h *Host) PeerTLS() TLSFiles { return h.peerTLS }

// MemoryLimit is the soft memory limit of the process in bytes; 0 for no limit.
func (h *Host) MemoryLimit() int64 { return h.memoryLimit }

// MessageMemory is how many bytes of messages, prepared statements and settings all callers together
// may make the process hold; 0 for no limit.
func (h *Host) MessageMemory() int64 { return h.messageMemory }

// MaxSessions is the greatest number of connections from callers.
func (h *Host) MaxSessions() int { return h.maxSessions }

// LogFormat is text or json.
func (h *Host) LogFormat() string { return h.logFormat }

// LogLevel is error, info or debug.
func (h *Host) LogLevel() string { return h.logLevel }

// Trace is the destination of trace spans: a file as file:PATH, or the base URL of an
// OTLP receiver. If it is empty, no spans are exported.
func (h *Host) Trace() string { return h.trace }

// TraceFraction is the fraction of statements that are traced without a request by
// the caller, from 0 to 1.
func (h *Host) TraceFraction() float64 { return h.traceFraction }
