package conf

import (
	"coltsfootloft"
	"coltsfootloft/core/keys"
)

const (
	maxBurst  = 10_000_000
	maxWeight = 1000
)

// team is a team and the database groups that it is granted.
type team struct {
	name   string
	groups []reference
}

func parseTeam(l location, o *object) value {
	return team{
		name:   l.name,
		groups: take(o, nameList(o, "groups").require()),
	}
}

func (t team) addTo(f *Fleet) Problems {
	var p Problems
	granted := make(map[string]bool, len(t.groups))
	for _, g := range t.groups {
		if _, ok := f.Group(g.name); !ok {
			p = append(p, g.at.problem("group "+f.describeMissing("fleet/groups", g.name), "a name under fleet/groups"))
		}
		granted[g.name] = true
	}
	if len(p) == 0 {
		f.teams[t.name] = granted
	}
	return p
}

// account is one client account with its weight and team.
type account struct {
	account coltsfootloft.Account
	weight  int
	team    string
	at      place
}

func parseAccount(l location, o *object) value {
	perSecond := take(o, rateField("rate").require())
	burst := take(o, integer("burst", 1, maxBurst).orDefault(max(1, int(perSecond))))
	return account{
		account: coltsfootloft.NewAccount(l.qualifiedName(), perSecond, float64(burst)),
		weight:  take(o, integer("weight", 1, maxWeight).orDefault(1)),
		team:    l.team,
		at:      o.doc.place(o.offset),
	}
}

func (a account) addTo(f *Fleet) Problems {
	if p := f.requireTeam(a.team, a.at); p != nil {
		return p
	}
	f.accounts[a.account.Name()] = a
	return nil
}

// Key is a key that callers authenticate with, and the verifier of its secret.
type Key struct {
	name       string
	team       string
	account    string
	verifier   keys.Verifier
	accountRef reference
	at         place
}

// Name is team.key, which callers use as their user name.
func (k Key) Name() string { return k.name }

// Team is the team that owns the key.
func (k Key) Team() string { return k.team }

// Account is the client account on whose behalf requests with the key run, as
// team/account.
func (k Key) Account() string { return k.account }

// Verifier returns the verifier of the key's secret.
func (k Key) Verifier() keys.Verifier { return k.verifier }

func parseKey(l location, o *object) value {
	account := takeReference(o, nameField("account").require())
	accepted := "a verifier \"SCRAM-SHA-256$iterations:salt$stored:server\", as key issue writes it"
	return Key{
		name:    l.team + "." + l.name,
		team:    l.team,
		account: l.team + "/" + account.name,
		verifier: take(o, text("verifier", accepted, func(s string) (keys.Verifier, bool) {
			v, err := keys.Parse(s)
			return v, err == nil
		}).require().hide()),
		accountRef: account,
		at:         o.doc.place(o.offset),
	}
}

func (k Key) addTo(f *Fleet) Problems {
	if p := f.requireTeam(k.team, k.at); p != nil {
		return p
	}
	if p := f.requireAccount(k.team, k.accountRef); p != nil {
		return p
	}
	f.keys[k.name] = k
	return nil
}

func (f *Fleet) requireTeam(team string, at place) Problems {
	if _, ok := f.teams[team]; ok {
		return nil
	}
	return Problems{at.problem("team "+f.describeMissing("fleet/teams", team), "a name under fleet/teams")}
}

func (f *Fleet) requireAccount(team string, r reference) Problems {
	if _, ok := f.accounts[team+"/"+r.name]; ok {
		return nil
	}
	under := "teams/" + team + "/accounts"
	return Problems{r.at.problem("account "+f.describeMissing(under, r.name), "a name under "+under)}
}
