package conf_test

import (
	"fmt"

	"coltsfootloft/core/conf"
)

// summary lists the settings in effect, one a line, for comparison.
func summary(f *conf.Fleet) []string {
	d := f.Defaults()
	r := []string{fmt.Sprintf("defaults %v %v %v %v", d.QueueWait(), d.ReadWait(), d.RetryBudget(), d.RequestTable())}
	for _, d := range f.Domains() {
		r = append(r, fmt.Sprintf("domain %s %s %d", d.Name(), d.Region(), d.Seats()))
	}
	for _, g := range f.Groups() {
		settings, _ := f.Group(g.Name())
		r = append(r, fmt.Sprintf("group %s %d %d %v %v %s", g.Name(), g.Connections(), settings.Slots(), settings.AckTimeout(),
			settings.ConnectTimeout(), settings.UpstreamDatabase()))
		for _, u := range g.Upstreams() {
			r = append(r, fmt.Sprintf("upstream %s %s %s", u.Name(), u.Domain(), u.Address()))
		}
	}
	for _, a := range f.Accounts() {
		r = append(r, fmt.Sprintf("account %s %v %v %d", a.Name(), a.Rate(), a.Burst(), f.Weight(a.Name())))
	}
	for _, k := range f.Keys() {
		r = append(r, fmt.Sprintf("key %s %s %s", k.Name(), k.Account(), k.Verifier()))
	}
	for _, o := range f.Routes() {
		r = append(r, fmt.Sprintf("route %s %s %v %v %v %s", o.Name(), o.Group(), o.MaxAge(), o.ReadOnly(), o.Open(), o.Account()))
		for _, k := range f.Keys() {
			r = append(r, fmt.Sprintf("allows %s %v", k.Name(), o.Allows(k)))
		}
	}
	return r
}
