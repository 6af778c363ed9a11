package prep

import "maps"

// Values returns a copy of the session values.
func (w *SessionState) Values() map[string]string { return maps.Clone(w.values) }

// NewSessionState returns the expected state of a session with these values and no
// prepared statements. The map is not copied.
func NewSessionState(values map[string]string) *SessionState { return &SessionState{values: values} }
