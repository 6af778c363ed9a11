package prep

import "maps"

// Values returns a copy of the session values.
func (s *SessionState) Values() map[string]string { return maps.Clone(s.values) }

// NewSessionState returns the expected state of a session with these values and no
// prepared statements. The map is not copied.
func NewSessionState(values map[string]string) *SessionState { return &SessionState{values: values} }
