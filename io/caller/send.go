package caller

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
)

// send writes every step in one go.
func (x *exchange) send() error {
	f := x.conn.Frontend()
	all := make([]step, 0, len(x.steps)+1)
	for _, t := range x.steps {
		all = x.expand(all, t)
	}
	x.steps = all
	for i := range x.steps {
		if x.steps[i].message != nil {
			f.Send(encoded(x.steps[i].message))
		}
	}
	return errors.Wrap(f.Flush(), "sending to "+x.conn.Database())
}

// expand adds a step and what must be prepared on the connection before it.
func (x *exchange) expand(all []step, t step) []step {
	if t.adds != nil {
		if x.conn.HasStatement(t.adds.name, t.adds.key) {
			a := answer(atParse, &pgproto3.ParseComplete{})
			a.change = t.change
			return append(all, a)
		}
		return append(x.evict(all, t.adds), t)
	}
	if t.needs != nil && !x.conn.HasStatement(t.needs.name, t.needs.key) {
		all = append(x.evict(all, t.needs), step{
			ends:    atParse,
			message: t.needs.parse(),
			adds:    t.needs,
			hidden:  true,
		})
	}
	return append(all, t)
}

// evict notes a statement as prepared, closing another if there are too many.
func (x *exchange) evict(all []step, t *statement) []step {
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
