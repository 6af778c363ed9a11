package store

import (
	"net"
	"strconv"

	"coltsfootloft"
)

// hostLine is one line of a catalog service, as Consul encodes it.
type hostLine struct {
	Node           string
	Address        string
	ServiceAddress string
	ServicePort    int
	ServiceMeta    hostMeta
}

// hostMeta is what the platform says of a host beside its address.
type hostMeta struct {
	Domain string `json:"domain"`
	Kind   string `json:"kind"`
	State  string `json:"state"`
}

func (l hostLine) record() coltsfootloft.HostRecord {
	ip := l.ServiceAddress
	if ip == "" {
		ip = l.Address
	}
	h := coltsfootloft.NewHost(l.Node, l.ServiceMeta.Domain, net.JoinHostPort(ip, strconv.Itoa(l.ServicePort)))
	if l.ServiceMeta.Kind == "upstream" {
		h = h.AsUpstream()
	}
	if l.ServiceMeta.State == "leaving" {
		h = h.AsLeaving()
	}
	return h
}
