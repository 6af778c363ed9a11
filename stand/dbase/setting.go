package dbase

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

func upper(t token) string { return strings.ToUpper(t.text) }

func isOn(v string) bool {
	n, ok := parseBool(v)
	return ok && n == 1
}

// report sends the client a setting's value.
func (x *session) report(name string) {
	x.backend.Send(&pgproto3.ParameterStatus{
		Name:  name,
		Value: x.settings[strings.ToLower(name)],
	})
}

// resetSettings resets all settings to their values at the start of the session.
func (x *session) resetSettings() {
	clear(x.settings)
	for _, p := range reportedSettings {
		x.settings[strings.ToLower(p.name)] = p.value
	}
	x.settings["default_transaction_isolation"] = "read committed"
	for k, v := range x.startup {
		x.settings[k] = v
	}
}

// set changes a setting and sends its value to the client if it is one of
// reportedSettings.
func (x *session) set(name, value string) {
	x.settings[name] = value
	for _, p := range reportedSettings {
		if strings.EqualFold(p.name, name) {
			x.report(p.name)
		}
	}
}

// openSetting runs SET, RESET, SHOW, DISCARD and DEALLOCATE.
func (x *session) openSetting(p *portal) error {
	s := p.statement
	w := s.tokens[1:]
	switch s.verb {
	case verbShow:
		p.columns = showColumns(s)
		return x.show(p)
	case verbDiscard:
		return x.discard(p)
	case verbDeallocate:
		p.tag = "DEALLOCATE"
		x.deallocate(w)
		return nil
	default:
	}
	p.tag = s.tag
	if s.tag == "RESET" {
		x.reset(w)
		return nil
	}
	return x.setStatement(w)
}

func (x *session) setStatement(w []token) error {
	if len(w) > 0 && (w[0].is("session") || w[0].is("local")) {
		w = w[1:]
	}
	switch {
	case len(w) > 0 && w[0].is("transaction"):
		x.setTransactionModes(w)
		return nil
	case len(w) > 0 && w[0].is("characteristics"):
		x.setSessionCharacteristics(w)
		return nil
	case len(w) > 1 && w[0].is("time") && w[1].is("zone"):
		w = append([]token{wordToken("timezone"), wordToken("to")}, w[2:]...)
	}
	for i, t := range w {
		if i > 0 && (t.is("=") || t.is("to")) {
			x.set(settingName(w[:i]), settingValue(w[i+1:]))
			return nil
		}
	}
	return sqlErrorf(codeSyntax, "syntax error at end of input")
}

// setSessionCharacteristics runs SET SESSION CHARACTERISTICS AS TRANSACTION.
func (x *session) setSessionCharacteristics(w []token) {
	for i, t := range w {
		switch {
		case t.is("only"):
			x.set("default_transaction_read_only", "on")
		case t.is("write") && w[i-1].is("read"):
			x.set("default_transaction_read_only", "off")
		case t.is("serializable"):
			x.set("default_transaction_isolation", "serializable")
		case t.is("repeatable"):
			x.set("default_transaction_isolation", "repeatable read")
		case t.is("committed"):
			x.set("default_transaction_isolation", "read committed")
		}
	}
}

func settingName(w []token) string {
	var b strings.Builder
	for _, t := range w {
		b.WriteString(unquote(t))
	}
	return strings.ToLower(b.String())
}

func settingValue(w []token) string {
	var parts []string
	for _, t := range w {
		if !t.is(",") {
			parts = append(parts, unquote(t))
		}
	}
	return strings.Join(parts, " ")
}

func (x *session) reset(w []token) {
	name := settingName(w)
	if name == "all" {
		x.resetSettings()
		return
	}
	old := x.settings
	x.settings = make(map[string]string)
	x.resetSettings()
	value, ok := x.settings[name]
	x.settings = old
	if ok {
		x.set(name, value)
		return
	}
	delete(x.settings, name)
}

func showName(s *statement) string {
	name := settingName(s.tokens[1:])
	if name == "transactionisolationlevel" {
		return "transaction_isolation"
	}
	return name
}

func showColumns(s *statement) []column {
	return []column{{
		name: showName(s),
		oid:  pgtype.TextOID,
	}}
}

func (x *session) show(p *portal) error {
	name := showName(p.statement)
	var value string
	switch name {
	case "transaction_read_only":
		value = onOff(x.tx.readOnly || x.server.isReplica())
	case "in_hot_standby":
		value = onOff(x.server.isReplica())
	case "transaction_isolation":
		value = x.settings["default_transaction_isolation"]
	default:
		v, ok := x.settings[name]
		if !ok {
			return sqlErrorf("42704", "unrecognized configuration parameter %q", name)
		}
		value = v
	}
	p.rows = [][]any{{value}}
	p.tag = "SHOW"
	return nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// discard runs DISCARD ALL. Other forms have no effect.
func (x *session) discard(p *portal) error {
	if len(p.statement.tokens) < 2 {
		return sqlErrorf(codeSyntax, "syntax error at end of input")
	}
	kind := upper(p.statement.tokens[1])
	p.tag = "DISCARD " + kind
	if kind != "ALL" {
		return nil
	}
	if x.tx.open {
		return sqlErrorf(codeActiveTransaction, "DISCARD ALL cannot run inside a transaction block")
	}
	x.closePortals()
	clear(x.prepared)
	before := make(map[string]string)
	for _, r := range reportedSettings {
		before[r.name] = x.settings[strings.ToLower(r.name)]
	}
	x.resetSettings()
	for _, r := range reportedSettings {
		if before[r.name] != x.settings[strings.ToLower(r.name)] {
			x.report(r.name)
		}
	}
	return nil
}

func (x *session) deallocate(w []token) {
	if len(w) > 0 && w[0].is("prepare") {
		w = w[1:]
	}
	if len(w) == 0 {
		return
	}
	if w[0].is("all") {
		clear(x.prepared)
		return
	}
	delete(x.prepared, unquote(w[0]))
}
