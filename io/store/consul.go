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
	// MaxOperations is the maximum number of operations in one Apply. A change is one
	// operation, or two if it takes a lock.
	MaxOperations = 128
	// MaxValue is the maximum size of a value, in bytes.
	MaxValue = 1 << 20
	// DefaultTimeout is the default of [Consul.Timeout].
	DefaultTimeout = 5 * time.Second
	// DefaultService is the default of [Consul.Service].
	DefaultService = "coltsfootloft"
	// watchMargin is how much longer than its wait a watch may take.
	watchMargin = 2 * time.Second
)

// Consul implements coltsfootloft.Store. Its exported fields must be set before the
// first call and not changed afterwards.
type Consul struct {
	// Addresses lists the servers as IP:port, or as URLs to use TLS. At least one is
	// required.
	Addresses []string
	// Client makes the calls; nil means a default client with pooled connections.
	// Only the default client knows exactly whether any byte of a change was sent.
	// For another client, a call counts as sent once it has a connection.
	Client *http.Client
	// Dial opens the connections of the default client; if nil, the system chooses
	// the source address.
	Dial dial.Func
	// Timeout bounds each call that has no earlier deadline, in addition to the
	// wait of a watch; DefaultTimeout if 0.
	Timeout time.Duration
	// Prefix is prepended to the keys of all calls and removed from returned ones.
	Prefix string
	// Service is the catalog service that lists the hosts; DefaultService if empty.
	Service string

	once   sync.Once
	client *http.Client
	next   atomic.Uint32
}

var _ coltsfootloft.Store = (*Consul)(nil)

// kvPair is a key with its value, as Consul encodes it.
type kvPair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

// Read returns one key. Its version is 0 if the key does not exist.
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

// List returns all keys with the prefix and the index of the last change among them.
func (c *Consul) List(ctx context.Context, prefix string) ([]coltsfootloft.Entry, uint64, error) {
	return c.list(ctx, prefix, url.Values{"recurse": {""}}, 0)
}

// Watch is like List, but first waits until the index of the prefix is above after,
// or for about the given wait.
func (c *Consul) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]coltsfootloft.Entry, uint64, error) {
	return c.list(ctx, prefix, url.Values{
		"recurse": {""},
		"index":   {strconv.FormatUint(after, 10)},
		"wait":    {wait.String()},
	}, wait+watchMargin)
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

// Hosts returns the platform's host list, which lags behind.
func (c *Consul) Hosts(ctx context.Context) ([]coltsfootloft.HostRecord, error) {
	hosts, _, err := c.WatchHosts(ctx, 0, 0)
	return hosts, err
}

// WatchHosts is like Hosts, but first waits until the index of the list differs from
// after, or for about the given wait. It does not wait if after is 0.
func (c *Consul) WatchHosts(ctx context.Context, after uint64, wait time.Duration) ([]coltsfootloft.HostRecord, uint64, error) {
	service := c.Service
	if service == "" {
		service = DefaultService
	}
	path := "/v1/catalog/service/" + url.PathEscape(service)
	if after > 0 {
		path += "?index=" + strconv.FormatUint(after, 10) + "&wait=" + wait.String()
		wait += watchMargin
	}
	r, err := c.read(ctx, path, wait)
	if err != nil {
		return nil, 0, errors.Wrap(err, "host list")
	}
	index, err := strconv.ParseUint(r.header.Get("X-Consul-Index"), 10, 64)
	if err != nil || r.code != http.StatusOK {
		return nil, 0, errors.Wrap(r.unavailable(), "host list")
	}
	var list []catalogEntry
	if err := json.Unmarshal(r.body, &list); err != nil {
		return nil, 0, errors.Wrapf(coltsfootloft.ErrStoreDown, "host list: %v", err)
	}
	hosts := make([]coltsfootloft.HostRecord, 0, len(list))
	for _, e := range list {
		hosts = append(hosts, e.record())
	}
	return hosts, index, nil
}

// get fails if the answer is about another key: HTTP matches answers to calls by their order, and
// something on the way may answer a call twice.
func (c *Consul) get(ctx context.Context, key string, q url.Values, wait time.Duration) ([]kvPair, uint64, error) {
	r, err := c.read(ctx, "/v1/kv/"+escape(c.Prefix+key)+"?"+q.Encode(), wait)
	if err != nil {
		return nil, 0, err
	}
	index, err := strconv.ParseUint(r.header.Get("X-Consul-Index"), 10, 64)
	if err != nil || (r.code != http.StatusOK && r.code != http.StatusNotFound) {
		return nil, 0, r.unavailable()
	}
	if r.code == http.StatusNotFound {
		return nil, index, nil
	}
	var pairs []kvPair
	if err := json.Unmarshal(r.body, &pairs); err != nil {
		return nil, 0, errors.Wrap(coltsfootloft.ErrStoreDown, err.Error())
	}
	asked := c.Prefix + key
	for _, p := range pairs {
		if p.Key == asked || q.Has("recurse") && strings.HasPrefix(p.Key, asked) {
			continue
		}
		return nil, 0, errors.Wrapf(coltsfootloft.ErrStoreDown, "answer with the key %q, asked for %q", p.Key, asked)
	}
	return pairs, index, nil
}

func (c *Consul) entry(p kvPair) coltsfootloft.Entry {
	return coltsfootloft.NewEntry(strings.TrimPrefix(p.Key, c.Prefix), p.Value, p.ModifyIndex, p.Session)
}

// escape escapes a key for a URL path, except for its slashes.
func escape(key string) string {
	parts := strings.Split(key, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
