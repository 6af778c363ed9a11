package caller

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"coltsfootloft"
	"coltsfootloft/core/stmt"
	"coltsfootloft/core/token"
)

// Names of the proxy's own settings.
const (
	// TokenName is the setting that holds the session's consistency token.
	TokenName = stmt.SettingPrefix + "token"
	// RequestName is the setting that holds the request id, which makes the next
	// write idempotent.
	RequestName = stmt.SettingPrefix + "request_id"
	// HostName is the setting that shows the name of the entry host that serves the
	// session.
	HostName = stmt.SettingPrefix + "host"
)

// textOID is the OID of the type text, which SHOW returns.
const textOID = 25

// maxRequestID is the maximum length of a request id in bytes.
const maxRequestID = 128

// runSetting runs a SET, RESET or SHOW of one of the proxy's own settings.
func (s *Session) runSetting(o *output, t stmt.Statement, describe bool) error {
	if t.Kind() != stmt.Show {
		if err := s.assign(t.Name(), t.Value()); err != nil {
			return err
		}
		return o.add(&pgproto3.CommandComplete{CommandTag: []byte(strings.ToUpper(t.Kind().String()))})
	}
	value, err := s.show(t.Name())
	if err != nil {
		return err
	}
	if describe {
		if err := o.add(settingDescription(t.Name())); err != nil {
			return err
		}
	}
	if err := o.add(&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}); err != nil {
		return err
	}
	return o.add(&pgproto3.CommandComplete{CommandTag: []byte("SHOW")})
}

func (s *Session) assign(name, value string) error {
	switch name {
	case TokenName:
		t, err := token.Parse(value)
		if err != nil {
			return coltsfootloft.Refuse("22023", err.Error())
		}
		s.Token = s.Token.Merge(t)
		return nil
	case RequestName:
		if len(value) > maxRequestID {
			return coltsfootloft.Refuse("22023", "request id is too long")
		}
		if value != "" && s.isMidTransaction() {
			return coltsfootloft.Refuse("25001", "a request id must be set before the first statement of a transaction")
		}
		s.requestID = value
		return nil
	}
	return unknownSetting(name)
}

func (s *Session) show(name string) (string, error) {
	switch name {
	case TokenName:
		return s.Token.String(), nil
	case RequestName:
		return s.requestID, nil
	case HostName:
		return s.Host, nil
	}
	return "", unknownSetting(name)
}

func (s *Session) describeSetting(t *statement, object byte) step {
	var messages []pgproto3.BackendMessage
	if object == 'S' {
		messages = append(messages, &pgproto3.ParameterDescription{})
	}
	only, _ := t.script.Single()
	if only.Kind() == stmt.Show {
		messages = append(messages, settingDescription(only.Name()))
	} else {
		messages = append(messages, &pgproto3.NoData{})
	}
	return answer(atDescribe, messages...)
}

func settingDescription(name string) *pgproto3.RowDescription {
	return &pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{
		Name:         []byte(name),
		DataTypeOID:  textOID,
		DataTypeSize: -1,
		TypeModifier: -1,
	}}}
}

func unknownSetting(name string) error {
	return coltsfootloft.Refuse("42704", "unrecognized setting "+quote(name))
}
