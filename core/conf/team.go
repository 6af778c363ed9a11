package conf

import (
	"coltsfootloft"
	"coltsfootloft/core/keys"
)

const (
	maxBurst  = 10_000_000
	maxWeight = 1000
)

// team is what fleet/teams grants.
type team struct {
	name   string
	groups []reference
}

func parseTeam(l location, o *object) value {
	return team{
		name:   l.name,
		groups: take(o, names(o, "groups").require()),
	}
}

func (t team) join(f *Fleet) Problems {
	var p Problems
	granted := make(map[string]bool, len(t.groups))
	for _, g := range t.groups {
		if _, ok := f.Group(g.name); !ok {
			p = append(p, g.at.problem("group "+f.absent("fleet/groups", g.name), "a name under fleet/groups"))
		}
		granted[g.name] = true
	}
	if len(p) == 0 {
		f.teams[t.name] = granted
	}
	return p
}

// account is one client account.
type account struct {
	account coltsfootloft.Account
	weight  int
	team    string
	at      place
}

func parseAccount(l location, o *object) value {
	perSecond := take(o, rate("rate").require())
	burst := take(o, integer("burst", 1, maxBurst).or(max(1, int(perSecond))))
	return account{
		account: coltsfootloft.NewAccount(l.full(), perSecond, float64(burst)),
		weight:  take(o, integer("weight", 1, maxWeight).or(1)),
		team:    l.team,
		at:      o.doc.place(o.offset),
	}
}

func (a account) join(f *Fleet) Problems {
	if p := f.requireTeam(a.team, a.at); p != nil {
		return p
	}
	f.accounts[a.account.Name()] = a
	return nil
}

// Key is a key that callers present, with the verifier of its secret.
type Key struct {
	name     string
	team     string
	account  string
	verifier keys.Verifier
	ref      reference
	at       place
}

// Name is team.key, as callers give it for their user name.
func (k Key) Name() string { return k.name }

// Team owns the key.
func (k Key) Team() string { return k.team }

// Account is the client account that requests with the key run for, as
// team/account.
func (k Key) Account() string { return k.account }

// Verifier checks the secret.
func (k Key) Verifier() keys.Verifier { return k.verifier }

func parseKey(l location, o *object) value {
	ref := refer(o, name("account").require())
	accepted := "a verifier \"SCRAM-SHA-256$iterations:salt$stored:server\", as key issue writes it"
	return Key{
		name:    l.team + "." + l.name,
		team:    l.team,
		account: l.team + "/" + ref.name,
		verifier: take(o, text("verifier", accepted, func(s string) (keys.Verifier, bool) {
			v, err := keys.Parse(s)
			return v, err == nil
		}).require().hide()),
		ref: ref,
		at:  o.doc.place(o.offset),
	}
}

func (k Key) join(f *Fleet) Problems {
	if p := f.requireTeam(k.team, k.at); p != nil {
		return p
	}
	if p := f.requireAccount(k.team, k.ref); p != nil {
		return p
	}
	f.keys[k.name] = k
	return nil
}

func (f *Fleet) requireTeam(team string, at place) Problems {
	if _, ok := f.teams[team]; ok {
		return nil
	}
	return Problems{at.problem("team "+f.absent("fleet/teams", team), "a name under fleet/teams")}
}

func (f *Fleet) requireAccount(team string, r reference) Problems {
	if _, ok := f.accounts[team+"/"+r.name]; ok {
		return nil
	}
	under := "teams/" + team + "/accounts"
	return Problems{r.at.problem("account "+f.absent(under, r.name), "a name under "+under)}
}
