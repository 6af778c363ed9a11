package conf

import (
	"flag"
	"os"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// EnvPrefix starts the names of environment variables that contain process settings.
const EnvPrefix = "COLTSFOOTLOFT_"

// settingsFile is the setting that names the file of process settings.
const settingsFile = "settings"

// processSettings is the place of problems that concern several process settings.
var processSettings = place{path: "process settings"}

// Loader reads a [Host]. A flag takes precedence over an environment variable, which
// takes precedence over a field of the file, and that over the default. The file
// itself is named by the flag -settings or the variable COLTSFOOTLOFT_SETTINGS.
type Loader struct {
	// Environ returns the environment as NAME=value; os.Environ if nil.
	Environ func() []string
	// ReadFile reads a whole file; os.ReadFile if nil.
	ReadFile func(name string) ([]byte, error)

	flags    *flag.FlagSet
	problems Problems
}

// rawSetting is the unparsed value of one process setting and its source.
type rawSetting struct {
	values []string
	at     place
}

// SetFlags adds a flag for each process setting.
func (l *Loader) SetFlags(f *flag.FlagSet) {
	l.flags = f
	f.String(settingsFile, "", "`file` with process settings in JSON with comments")
	for _, s := range hostSettings {
		u := s.usage
		if s.list {
			u += " (separated by commas)"
		}
		if s.defaultValue != "" {
			u += " (default " + s.defaultValue + ")"
		}
		f.String(flagName(s.name), "", u)
	}
}

// Load returns the process settings. It must be called after the flags are parsed. If
// there are any problems, the Host must not be used.
func (l *Loader) Load() (*Host, Problems) {
	l.problems = nil
	fromFlags := l.fromFlags()
	fromEnvironment := l.fromEnvironment()
	name := lookup(settingsFile, fromFlags, fromEnvironment)
	var fromFile map[string]rawSetting
	if len(name.values) == 1 && name.values[0] != "" {
		fromFile = l.fromFile(name.values[0], name.at)
	}
	h := &Host{}
	for _, s := range hostSettings {
		g := lookup(s.name, fromFlags, fromEnvironment, fromFile)
		l.setField(h, s, g)
	}
	l.checkTLS(h)
	return h, l.problems
}

func (l *Loader) setField(h *Host, s hostSetting, raw rawSetting) {
	if raw.at.path == "" {
		if s.required {
			l.report(processSettings, "no "+s.name, s.accepted+", by flag -"+flagName(s.name)+", variable "+variable(s.name)+" or field \""+s.name+"\"")
		}
		if s.defaultValue != "" {
			s.set(h, []string{s.defaultValue})
		}
		return
	}
	if s.list && len(raw.values) == 1 && raw.values[0] == "" {
		raw.values = nil
	}
	if !s.set(h, raw.values) {
		l.report(raw.at, "\""+strings.Join(raw.values, ",")+"\" as "+s.name, s.accepted)
	}
}

func (l *Loader) checkTLS(h *Host) {
	for _, p := range []struct {
		role  string
		files TLSFiles
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
			l.report(processSettings, "only one of "+p.role+"_cert and "+p.role+"_key", "both or none")
		}
	}
	if h.requireTLS && h.callerTLS.certificate == "" {
		l.report(processSettings, "require_tls without caller_cert", "caller_cert and caller_key beside it")
	}
	if !h.peerTLS.IsZero() && (h.peerTLS.authorities == "" || h.peerTLS.certificate == "") {
		l.report(processSettings, "some of peer_ca, peer_cert and peer_key", "all three or none")
	}
}

func (l *Loader) report(at place, found, accepted string) {
	l.problems = append(l.problems, at.problem(found, accepted))
}

func (l *Loader) fromFlags() map[string]rawSetting {
	r := make(map[string]rawSetting)
	if l.flags == nil {
		return r
	}
	l.flags.Visit(func(f *flag.Flag) {
		name := strings.ReplaceAll(f.Name, "-", "_")
		r[name] = splitList(name, f.Value.String(), place{path: "flag -" + f.Name})
	})
	return r
}

func (l *Loader) fromEnvironment() map[string]rawSetting {
	r := make(map[string]rawSetting)
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
		if name != settingsFile && !isHostSetting(name) {
			l.report(at, "a variable that is no setting", "variables "+EnvPrefix+"… for the flags of serve")
			continue
		}
		r[name] = splitList(name, value, at)
	}
	return r
}

func (l *Loader) fromFile(name string, at place) map[string]rawSetting {
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
	r := make(map[string]rawSetting)
	if o := d.root(); o != nil {
		for _, s := range hostSettings {
			o.knownFields = append(o.knownFields, s.name)
			if v, ok := o.members[s.name]; ok {
				r[s.name] = rawSetting{
					values: literalTexts(v),
					at:     d.place(v.StartOffset),
				}
			}
		}
		o.reportUnknown()
	}
	l.problems = append(l.problems, d.problems...)
	return r
}

// literalTexts returns the text of a literal, or the texts of a list of literals.
func literalTexts(v hujson.Value) []string {
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

func splitList(name, value string, at place) rawSetting {
	g := rawSetting{
		values: []string{value},
		at:     at,
	}
	i := slices.IndexFunc(hostSettings, func(s hostSetting) bool { return s.name == name })
	if i >= 0 && hostSettings[i].list {
		g.values = strings.Split(value, ",")
	}
	return g
}

func lookup(name string, sources ...map[string]rawSetting) rawSetting {
	for _, s := range sources {
		if g, ok := s[name]; ok {
			return g
		}
	}
	return rawSetting{}
}

func isHostSetting(name string) bool {
	return slices.ContainsFunc(hostSettings, func(s hostSetting) bool { return s.name == name })
}

func flagName(name string) string { return strings.ReplaceAll(name, "_", "-") }

func variable(name string) string { return EnvPrefix + strings.ToUpper(name) }
