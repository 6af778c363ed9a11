package store

import (
	"net"
	"strconv"

	"coltsfootloft"
)

// catalogEntry is one instance of a catalog service, as Consul encodes it.
type catalogEntry struct {
	Node           string
	Address        string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    serviceMeta
}

// serviceMeta is the platform's metadata of a host.
type serviceMeta struct {
	Domain string `json:"domain"`
	Kind   string `json:"kind"`
	State  string `json:"state"`
}

func (e catalogEntry) record() coltsfootloft.HostRecord {
	ip := e.ServiceAddress
	if ip == "" {
		ip = e.Address
	}
	h := coltsfootloft.NewHost(e.Node, e.ServiceMeta.Domain, net.JoinHostPort(ip, strconv.Itoa(e.ServicePort)))
	if e.ServiceMeta.Kind == "upstream" {
		h = h.AsUpstream()
	}
	if e.ServiceMeta.State == "leaving" {
		h = h.AsLeaving()
	}
	return h
}
