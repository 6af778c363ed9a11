package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// send writes all steps and flushes once.
func (x *exchange) send() error {
	f := x.conn.Frontend()
	all := make([]step, 0, len(x.steps)+1)
	for _, t := range x.steps {
		all = x.appendStep(all, t)
	}
	x.steps = all
	for i := range x.steps {
		if x.steps[i].message != nil {
			f.Send(encoded(x.steps[i].message))
		}
	}
	return errors.Wrap(f.Flush(), "sending to "+x.conn.Database())
}

// appendStep appends a step, preceded by a Parse if the connection lacks the
// statement that it needs.
func (x *exchange) appendStep(all []step, t step) []step {
	if t.prepares != nil {
		if x.conn.HasStatement(t.prepares.name, t.prepares.key) {
			a := answer(atParse, &pgproto3.ParseComplete{})
			a.change = t.change
			return append(all, a)
		}
		return append(x.trackStatement(all, t.prepares), t)
	}
	if t.needs != nil && !x.conn.HasStatement(t.needs.name, t.needs.key) {
		all = append(x.trackStatement(all, t.needs), step{
			ends:     atParse,
			message:  t.needs.parseMessage(),
			prepares: t.needs,
			hidden:   true,
		})
	}
	return append(all, t)
}

// trackStatement records a statement as prepared on the connection. If there are too
// many, it appends a step that closes another.
func (x *exchange) trackStatement(all []step, t *statement) []step {
	old := x.conn.AddStatement(t.name, t.key)
	if old == "" {
		return all
	}
	return append(all, step{
		ends: atClose,
		message: encode(&pgproto3.Close{
			ObjectType: 'S',
			Name:       old,
		}),
		hidden: true,
	})
}
