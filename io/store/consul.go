package store

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/io/dial"
)

const (
	// MaxChanges is the most changes that one Apply takes.
	MaxChanges = 128
	// MaxValue is the largest value, in bytes.
	MaxValue = 1 << 20
	// DefaultTimeout bounds a call that has no earlier deadline.
	DefaultTimeout = 5 * time.Second
	// DefaultService is the catalog service that carries the host list.
	DefaultService = "coltsfootloft"
	// watchGrace is how much longer than its wait a watch may take.
	watchGrace = 2 * time.Second
)

// Consul is a coltsfootloft.Store. Its fields are set before the first call.
type Consul struct {
	// Addresses are IP:port, or URLs where TLS is wanted; at least one.
	Addresses []string
	// Client makes the calls; one with pooled connections if nil. The default
	// one tells exactly whether any byte of a change was sent; another's
	// transport is taken to have sent once it has a connection.
	Client *http.Client
	// Dial opens connections of the default Client; nil leaves the source address
	// to the system.
	Dial dial.Func
	// Timeout bounds each call, on top of its wait; DefaultTimeout if 0.
	Timeout time.Duration
	// Prefix is put before every key and taken off again.
	Prefix string
	// Service is the catalog service with the host list; DefaultService if
	// empty.
	Service string

	once   sync.Once
	client *http.Client
	next   atomic.Uint32
}

var _ coltsfootloft.Store = (*Consul)(nil)

// pair is one key as Consul encodes it.
type pair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

// Read returns one key, with Version 0 if it does not exist.
func (c *Consul) Read(ctx context.Context, key string) (coltsfootloft.Entry, error) {
	pairs, _, err := c.get(ctx, key, nil, 0)
	if err != nil {
		return coltsfootloft.Entry{}, errors.Wrapf(err, "read %s", key)
	}
	if len(pairs) == 0 {
		return coltsfootloft.NewEntry(key, nil, 0, ""), nil
	}
	return c.entry(pairs[0]), nil
}

// List returns all keys under prefix and the index of the last change there.
func (c *Consul) List(ctx context.Context, prefix string) ([]coltsfootloft.Entry, uint64, error) {
	return c.list(ctx, prefix, url.Values{"recurse": {""}}, 0)
}

// Watch is List, but waits until the index under prefix passes after, or for
// about wait.
func (c *Consul) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]coltsfootloft.Entry, uint64, error) {
	return c.list(ctx, prefix, url.Values{
		"recurse": {""},
		"index":   {strconv.FormatUint(after, 10)},
		"wait":    {wait.String()},
	}, wait+watchGrace)
}

func (c *Consul) list(ctx context.Context, prefix string, q url.Values, wait time.Duration) ([]coltsfootloft.Entry, uint64, error) {
	pairs, index, err := c.get(ctx, prefix, q, wait)
	if err != nil {
		return nil, 0, errors.Wrapf(err, "list %s", prefix)
	}
	entries := make([]coltsfootloft.Entry, 0, len(pairs))
	for _, p := range pairs {
		entries = append(entries, c.entry(p))
	}
	return entries, index, nil
}

// Hosts returns the platform's lagging host list.
func (c *Consul) Hosts(ctx context.Context) ([]coltsfootloft.HostRecord, error) {
	hosts, _, err := c.WatchHosts(ctx, 0, 0)
	return hosts, err
}

// WatchHosts is Hosts, but waits until the index of the list differs from after,
// or for about wait. It does not wait if after is 0.
func (c *Consul) WatchHosts(ctx context.Context, after uint64, wait time.Duration) ([]coltsfootloft.HostRecord, uint64, error) {
	service := c.Service
	if service == "" {
		service = DefaultService
	}
	path := "/v1/catalog/service/" + url.PathEscape(service)
	if after > 0 {
		path += "?index=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
		wait += watchGrace
	}
	a, err := c.read(ctx, path, wait)
	if err != nil {
		return nil, 0, errors.Wrap(err, "host list")
	}
	index, err := strconv.ParseUint(a.header.Get("X-Consul-Index"), 10, 64)
	if err != nil || a.code != http.StatusOK {
		return nil, 0, errors.Wrap(a.down(), "host list")
	}
	var lines []hostLine
	if err := json.Unmarshal(a.body, &lines); err != nil {
		return nil, 0, errors.Wrapf(coltsfootloft.ErrStoreDown, "host list: %v", err)
	}
	hosts := make([]coltsfootloft.HostRecord, 0, len(lines))
	for _, l := range lines {
		hosts = append(hosts, l.record())
	}
	return hosts, index, nil
}

func (c *Consul) get(ctx context.Context, key string, q url.Values, wait time.Duration) ([]pair, uint64, error) {
	a, err := c.read(ctx, "/v1/kv/"+escape(c.Prefix+key)+"?"+q.Encode(), wait)
	if err != nil {
		return nil, 0, err
	}
	index, err := strconv.ParseUint(a.header.Get("X-Consul-Index"), 10, 64)
	if err != nil || (a.code != http.StatusOK && a.code != http.StatusNotFound) {
		return nil, 0, a.down()
	}
	if a.code == http.StatusNotFound {
		return nil, index, nil
	}
	var pairs []pair
	if err := json.Unmarshal(a.body, &pairs); err != nil {
		return nil, 0, errors.Wrap(coltsfootloft.ErrStoreDown, err.Error())
	}
	return pairs, index, nil
}

func (c *Consul) entry(p pair) coltsfootloft.Entry {
	return coltsfootloft.NewEntry(strings.TrimPrefix(p.Key, c.Prefix), p.Value, p.ModifyIndex, p.Session)
}

// escape encodes a key for a URL path and keeps its slashes.
func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
