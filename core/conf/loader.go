package conf

import (
	"flag"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// EnvPrefix opens the names of environment variables that hold process settings.
const EnvPrefix = "COLTSFOOTLOFT_"

// fileSetting names the file that holds process settings.
const fileSetting = "settings"

// whole is the place of problems between several process settings.
var whole = place{path: "process settings"}

// Loader reads a [Host]. A flag comes before an environment variable, that before
// a field of the file, and that before the default. The file itself is named by
// the flag -settings or the variable COLTSFOOTLOFT_SETTINGS.
type Loader struct {
	// Environ lists the environment as NAME=value; os.Environ if nil.
	Environ func() []string
	// ReadFile reads a whole file; os.ReadFile if nil.
	ReadFile func(name string) ([]byte, error)

	flags    *flag.FlagSet
	problems Problems
}

// given is the raw form of one process setting and where it came from.
type given struct {
	values []string
	at     place
}

// SetFlags adds a flag for each process setting.
func (l *Loader) SetFlags(f *flag.FlagSet) {
	l.flags = f
	f.String(fileSetting, "", "`file` with process settings in JSON with comments")
	for _, s := range hostSettings {
		u := s.usage
		if s.list {
			u += " (separated by commas)"
		}
		if s.missing != "" {
			u += " (default " + s.missing + ")"
		}
		f.String(flagName(s.name), "", u)
	}
}

// Load returns the process settings, once the flags are parsed. With any problem
// the Host is not to be used.
func (l *Loader) Load() (*Host, Problems) {
	l.problems = nil
	fromFlags := l.fromFlags()
	fromEnvironment := l.fromEnvironment()
	name := first(fileSetting, fromFlags, fromEnvironment)
	var fromFile map[string]given
	if len(name.values) == 1 && name.values[0] != "" {
		fromFile = l.fromFile(name.values[0], name.at)
	}
	h := &Host{}
	for _, s := range hostSettings {
		g := first(s.name, fromFlags, fromEnvironment, fromFile)
		l.put(h, s, g)
	}
	l.checkPairs(h)
	return h, l.problems
}

func (l *Loader) put(h *Host, s hostSetting, g given) {
	if g.at.path == "" {
		if s.required {
			l.report(whole, "no "+s.name, s.accepted+", by flag -"+flagName(s.name)+", variable "+variable(s.name)+" or field \""+s.name+"\"")
		}
		if s.missing != "" {
			s.set(h, []string{s.missing})
		}
		return
	}
	if s.list && len(g.values) == 1 && g.values[0] == "" {
		g.values = nil
	}
	if !s.set(h, g.values) {
		l.report(g.at, "\""+strings.Join(g.values, ",")+"\" as "+s.name, s.accepted)
	}
}

func (l *Loader) checkPairs(h *Host) {
	for _, p := range []struct {
		role  string
		files Files
	}{
		{
			role:  "caller",
			files: h.callerTLS,
		},
		{
			role:  "upstream",
			files: h.upstreamTLS,
		},
		{
			role:  "peer",
			files: h.peerTLS,
		},
	} {
		if (p.files.certificate == "") != (p.files.key == "") {
			l.report(whole, "only one of "+p.role+"_cert and "+p.role+"_key", "both or none")
		}
	}
	if h.requireTLS && h.callerTLS.certificate == "" {
		l.report(whole, "require_tls without caller_cert", "caller_cert and caller_key beside it")
	}
	if !h.peerTLS.IsZero() && (h.peerTLS.authorities == "" || h.peerTLS.certificate == "") {
		l.report(whole, "some of peer_ca, peer_cert and peer_key", "all three or none")
	}
}

func (l *Loader) report(at place, found, accepted string) {
	l.problems = append(l.problems, at.problem(found, accepted))
}

func (l *Loader) fromFlags() map[string]given {
	r := make(map[string]given)
	if l.flags == nil {
		return r
	}
	l.flags.Visit(func(f *flag.Flag) {
		name := strings.ReplaceAll(f.Name, "-", "_")
		r[name] = split(name, f.Value.String(), place{path: "flag -" + f.Name})
	})
	return r
}

func (l *Loader) fromEnvironment() map[string]given {
	r := make(map[string]given)
	environ := l.Environ
	if environ == nil {
		environ = os.Environ
	}
	for _, e := range environ() {
		key, value, _ := strings.Cut(e, "=")
		name, ok := strings.CutPrefix(key, EnvPrefix)
		if !ok {
			continue
		}
		name = strings.ToLower(name)
		at := place{path: "variable " + key}
		if name != fileSetting && !isHostSetting(name) {
			l.report(at, "a variable that is no setting", "variables "+EnvPrefix+"… for the flags of serve")
			continue
		}
		r[name] = split(name, value, at)
	}
	return r
}

func (l *Loader) fromFile(name string, at place) map[string]given {
	read := l.ReadFile
	if read == nil {
		read = os.ReadFile
	}
	source, err := read(name)
	if err != nil {
		l.report(at, "a file that can't be read ("+err.Error()+")", "a file of process settings")
		return nil
	}
	d := &document{
		path:   name,
		source: source,
	}
	r := make(map[string]given)
	if o := d.root(); o != nil {
		for _, s := range hostSettings {
			o.known = append(o.known, s.name)
			if v, ok := o.members[s.name]; ok {
				r[s.name] = given{
					values: plain(v),
					at:     d.place(v.StartOffset),
				}
			}
		}
		o.done()
	}
	l.problems = append(l.problems, d.problems...)
	return r
}

// plain returns the texts of a literal or of a list of literals.
func plain(v hujson.Value) []string {
	switch t := v.Value.(type) {
	case hujson.Literal:
		return []string{t.String()}
	case *hujson.Array:
		r := make([]string, 0, len(t.Elements))
		for _, e := range t.Elements {
			r = append(r, literal(e))
		}
		return r
	}
	return nil
}

func split(name, value string, at place) given {
	g := given{
		values: []string{value},
		at:     at,
	}
	i := slices.IndexFunc(hostSettings, func(s hostSetting) bool { return s.name == name })
	if i >= 0 && hostSettings[i].list {
		g.values = strings.Split(value, ",")
	}
	return g
}

func first(name string, sources ...map[string]given) given {
	for _, s := range sources {
		if g, ok := s[name]; ok {
			return g
		}
	}
	return given{}
}

func isHostSetting(name string) bool {
	return slices.ContainsFunc(hostSettings, func(s hostSetting) bool { return s.name == name })
}

func flagName(name string) string { return strings.ReplaceAll(name, "_", "-") }

func variable(name string) string { return EnvPrefix + strings.ToUpper(name) }
