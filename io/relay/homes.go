package relay

import (
	"slices"

	"coltsfootloft/core/homes"
)

// owners returns the hosts that may own the connections of an account to a database, in order of
// preference, without those to which a statement may not be handed.
func (r *Relay) owners(database, account string, h homes.Homes) []string {
	order := r.Owners.Of(database, account)
	if !h.IsRestricted() {
		return order
	}
	return slices.DeleteFunc(slices.Clone(order), func(host string) bool { return !r.allowsHost(h, host) })
}

func (r *Relay) allowsHost(h homes.Homes, host string) bool {
	return host == r.Self || h.AllowsHost(r.Owners.Mirror.View().Hosts[host].Domain, r.Groups.Domain)
}

// IsAllowed reports whether h still allows the host that has the connection.
func (n *Conn) IsAllowed(h homes.Homes) bool {
	return n.owner == "" || !h.IsRestricted() || n.relay.allowsHost(h, n.owner)
}
