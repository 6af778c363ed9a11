package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/stmt"
)

const (
	// maxStatements limits the prepared statements of one session.
	maxStatements = 4096
	// codeDuplicateStatement is the SQLSTATE for a Parse whose name is in use.
	codeDuplicateStatement = "42P05"
)

// addParse adds a Parse to the batch.
func (s *Session) addParse(m *pgproto3.Parse) {
	_, taken := s.prepared[m.Name]
	if taken && m.Name != "" {
		s.batch.refuse(coltsfootloft.Refuse(codeDuplicateStatement, "prepared statement "+quote(m.Name)+" already exists"))
		return
	}
	if !taken && len(s.prepared) >= maxStatements {
		s.batch.refuse(coltsfootloft.Refuse("53400", "too many prepared statements in one session"))
		return
	}
	if !s.growForParse(m.Query) {
		s.batch.refuse(coltsfootloft.NoMemory(len(m.Query)))
		return
	}
	t := newStatement(m)
	s.batch.check(t.script)
	c := s.setStatement(m.Name, t)
	if isHostStatement(t.script) {
		a := answer(atParse, &pgproto3.ParseComplete{})
		a.change = c
		s.batch.steps = append(s.batch.steps, a)
		return
	}
	s.batch.steps = append(s.batch.steps, step{
		ends:     atParse,
		message:  t.parseMessage(),
		prepares: t,
		change:   c,
	})
}

// addBind adds a Bind to the batch.
func (s *Session) addBind(m *pgproto3.Bind) {
	t, ok := s.prepared[m.PreparedStatement]
	if !ok {
		s.batch.refuse(unknownStatement(m.PreparedStatement))
		return
	}
	if _, known := s.portals[m.DestinationPortal]; !known {
		s.portalBytes += portalBytes + len(m.DestinationPortal)
	}
	s.portals[m.DestinationPortal] = t
	if isHostStatement(t.script) {
		s.batch.steps = append(s.batch.steps, answer(atBind, &pgproto3.BindComplete{}))
		return
	}
	s.batch.steps = append(s.batch.steps, step{
		ends:    atBind,
		message: t.bindMessage(m),
		needs:   t,
	})
}

// addDescribe adds a Describe to the batch.
func (s *Session) addDescribe(m *pgproto3.Describe) {
	t, ok := s.portals[m.Name]
	if m.ObjectType == 'S' {
		t, ok = s.prepared[m.Name]
	}
	if !ok {
		s.batch.refuse(unknownStatement(m.Name))
		return
	}
	if isHostStatement(t.script) {
		s.batch.steps = append(s.batch.steps, s.describeSetting(t, m.ObjectType))
		return
	}
	d := step{
		ends:    atDescribe,
		message: encode(m),
	}
	if m.ObjectType == 'S' {
		d.message = t.describeMessage()
		d.needs = t
	}
	s.batch.steps = append(s.batch.steps, d)
}

// addExecute adds an Execute to the batch.
func (s *Session) addExecute(m *pgproto3.Execute) {
	t, ok := s.portals[m.Portal]
	if !ok {
		s.batch.refuse(coltsfootloft.Refuse("34000", "portal "+quote(m.Portal)+" does not exist"))
		return
	}
	if s.batch.cost == 0 {
		s.batch.sql = t.sql
	}
	s.batch.addScript(t.script)
	if isHostStatement(t.script) {
		only, _ := t.script.Single()
		s.batch.steps = append(s.batch.steps, step{
			ends:   atExecute,
			script: t.script,
			local:  func(o *output) error { return s.runSetting(o, only, false) },
		})
		return
	}
	s.batch.steps = append(s.batch.steps, step{
		ends:    atExecute,
		message: encode(m),
		script:  t.script,
	})
}

// addClose adds a Close to the batch. Statements stay prepared upstream, because
// other sessions may use them.
func (s *Session) addClose(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		a := answer(atClose, &pgproto3.CloseComplete{})
		a.change = s.setStatement(m.Name, nil)
		s.batch.steps = append(s.batch.steps, a)
		return
	}
	t, ok := s.portals[m.Name]
	if ok {
		s.portalBytes -= portalBytes + len(m.Name)
	}
	delete(s.portals, m.Name)
	if !ok || isHostStatement(t.script) || s.pinned == nil && len(s.batch.steps) == 0 {
		s.batch.steps = append(s.batch.steps, answer(atClose, &pgproto3.CloseComplete{}))
		return
	}
	s.batch.steps = append(s.batch.steps, step{
		ends:    atClose,
		message: encode(m),
	})
}

// addSync adds the Sync that ends the batch.
func (s *Session) addSync() {
	s.batch.steps = append(s.batch.steps, step{
		ends:    atSync,
		message: encode(&pgproto3.Sync{}),
	})
}

// isHostStatement reports whether the host runs the script itself.
func isHostStatement(p stmt.Script) bool {
	t, ok := p.Single()
	return ok && t.IsProxy()
}

func answer(e ending, messages ...pgproto3.BackendMessage) step {
	return step{
		ends: e,
		local: func(o *output) error {
			for _, m := range messages {
				if err := o.add(m); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func unknownStatement(name string) error {
	return coltsfootloft.Refuse("26000", "prepared statement "+quote(name)+" does not exist")
}
