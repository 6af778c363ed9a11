// Package hostlink puts a switch of package relay before hosts, so that tests can hold up or cut the
// links between two of them.
//
// A host registers the address at which it listens for links. [Links.Rewrite] replaces it by the
// address of the switch as the stand-in of the store takes the registration, so that other hosts
// connect to the switch. Either host of a pair may open a link; a [Pair] has both ways.
package hostlink

import (
	"context"
	"encoding/json"
	"net"
	"strings"
	"sync"

	"coltsfootloft/stand/relay"
)

// prefix is the folder of the registrations in the store.
const prefix = "coltsfootloft/host/"

// Links holds the switches before hosts. The zero value has none.
type Links struct {
	mu    sync.Mutex
	hosts map[string]host // by name
}

type host struct {
	ip  string
	way *relay.Switch
}

// Add starts a switch before a host, which listens for links at the address ip:port. The switch
// accepts connections with l until ctx ends.
func (k *Links) Add(ctx context.Context, name, address string, l net.Listener) {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		panic(err)
	}
	h := host{
		ip: ip,
		way: &relay.Switch{
			Listener:   l,
			Target:     address,
			KeepSource: true,
		},
	}
	go func() { _ = h.way.Run(ctx) }()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.hosts == nil {
		k.hosts = make(map[string]host)
	}
	k.hosts[name] = h
}

// Rewrite returns the value that the store keeps when a host writes value under key. It changes the
// address in the registration of a host that has a switch, and nothing else.
func (k *Links) Rewrite(key string, value []byte) []byte {
	name, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return value
	}
	k.mu.Lock()
	h, ok := k.hosts[name]
	k.mu.Unlock()
	if !ok {
		return value
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(value, &fields) != nil || fields["address"] == nil {
		return value
	}
	fields["address"], _ = json.Marshal(h.way.Listener.Addr().String())
	b, err := json.Marshal(fields)
	if err != nil {
		panic(err) // a map of valid JSON always encodes
	}
	return b
}

// Between returns the links between two hosts that have switches.
func (k *Links) Between(a, b string) Pair {
	k.mu.Lock()
	defer k.mu.Unlock()
	return Pair{
		fromA: k.hosts[b].way.From(k.hosts[a].ip),
		fromB: k.hosts[a].way.From(k.hosts[b].ip),
	}
}

// Bytes returns how many bytes hosts have sent each other through the switches.
func (k *Links) Bytes() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	total := int64(0)
	for _, to := range k.hosts {
		for _, from := range k.hosts {
			s := to.way.From(from.ip).Status()
			total += s.ToTarget + s.ToCaller
		}
	}
	return total
}

// Pair is the links between two hosts a and b, whichever of them opened them.
type Pair struct {
	fromA, fromB *relay.Relay // opened by a, and by b
}

// Hold stops the delivery of bytes, or resumes it if on is false. ToTarget are the bytes from a to b,
// ToCaller those from b to a. Connections stay open.
func (p Pair) Hold(d relay.Direction, on bool) {
	p.fromA.Hold(d, on)
	p.fromB.Hold(reverse(d), on)
}

// Cut resets all links and every new one. It ends when on is false.
func (p Pair) Cut(on bool) {
	p.fromA.Cut(on)
	p.fromB.Cut(on)
}

func reverse(d relay.Direction) relay.Direction {
	switch d {
	case relay.ToTarget:
		return relay.ToCaller
	case relay.ToCaller:
		return relay.ToTarget
	case relay.Both:
	}
	return d
}
