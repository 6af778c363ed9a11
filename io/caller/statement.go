package caller

import (
	"crypto/sha256"
	"encoding/base32"
	"encoding/binary"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft/core/stmt"
)

// statement is a prepared statement of the session. Its name on upstream connections
// is derived from its text and parameter types, so that sessions can share it.
type statement struct {
	name   string
	key    string
	sql    string
	oids   []uint32
	script stmt.Script
}

func newStatement(m *pgproto3.Parse) *statement {
	s := &statement{
		sql:    m.Query,
		oids:   append([]uint32(nil), m.ParameterOIDs...),
		script: stmt.Parse(m.Query),
	}
	s.key = s.digest()
	if m.Name != "" {
		s.name = s.key
	}
	return s
}

// digest hashes the text and parameter types. Client accounts share upstream
// connections, so the hash must resist deliberate collisions.
func (s *statement) digest() string {
	b := make([]byte, 0, len(s.sql)+4*len(s.oids)+4)
	b = binary.BigEndian.AppendUint32(b, uint32(len(s.oids)))
	for _, o := range s.oids {
		b = binary.BigEndian.AppendUint32(b, o)
	}
	sum := sha256.Sum256(append(b, s.sql...))
	return "cl_" + base32.HexEncoding.EncodeToString(sum[:20])
}

// parseMessage returns the message that prepares the statement upstream.
func (s *statement) parseMessage() []byte {
	return encode(&pgproto3.Parse{
		Name:          s.name,
		Query:         s.sql,
		ParameterOIDs: s.oids,
	})
}

// describeMessage returns the message that requests its parameters and columns.
func (s *statement) describeMessage() []byte {
	return encode(&pgproto3.Describe{
		ObjectType: 'S',
		Name:       s.name,
	})
}

// bindMessage returns the caller's Bind with the upstream name of the statement.
func (s *statement) bindMessage(m *pgproto3.Bind) []byte {
	c := *m
	c.PreparedStatement = s.name
	return encode(&c)
}
