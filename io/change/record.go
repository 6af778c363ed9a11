package change

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"coltsfootloft"
	"coltsfootloft/core/conf"
)

const (
	// HistoryPrefix opens the store's key of each record; the change id follows.
	HistoryPrefix = "coltsfootloft/history/"
	headKey       = conf.StorePrefix + conf.HeadPath
)

// Record tells of one change.
type Record struct {
	// Change is the change id, unique in the fleet.
	Change string `json:"change"`
	// Number counts the changes from 1.
	Number uint64 `json:"number"`
	// Previous is the id of the change before; empty for the first.
	Previous string `json:"previous,omitempty"`
	// Author is who made the change, as the command line was told.
	Author string `json:"author"`
	// At is the time on the operator's machine.
	At time.Time `json:"at"`
	// Note is the operator's own word on the change.
	Note string `json:"note,omitempty"`
	// Paths are what was changed.
	Paths []PathChange `json:"paths"`
	// Revision is the store's revision of the change. It is known only once the
	// record is read back.
	Revision uint64 `json:"revision,omitempty"`
}

// PathChange is one path of a change.
type PathChange struct {
	// Path is the settings path.
	Path string `json:"path"`
	// Action is added, changed or removed.
	Action string `json:"action"`
}

// head points to the newest change.
type head struct {
	Change string `json:"change"`
	Number uint64 `json:"number"`
}

// newID returns an id that sorts by number and is unique however many operators
// try the same number.
func newID(number uint64) string {
	return fmt.Sprintf("%08d-%s", number, uuid.NewString()[:8])
}

func decodeHead(e coltsfootloft.Entry) (head, error) {
	var h head
	if e.Version() == 0 {
		return h, nil
	}
	err := json.Unmarshal(e.Value(), &h)
	return h, errors.Wrapf(err, "value at %s", headKey)
}

func decodeRecord(e coltsfootloft.Entry) (Record, error) {
	var r Record
	if err := json.Unmarshal(e.Value(), &r); err != nil {
		return r, errors.Wrapf(err, "record at %s", e.Key())
	}
	r.Revision = e.Version()
	return r, nil
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
