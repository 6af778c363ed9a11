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
	// HistoryPrefix is the key prefix of the records in the store; the change id
	// follows it.
	HistoryPrefix = "coltsfootloft/history/"
	// headKey is the store's key of the head.
	headKey = conf.StorePrefix + conf.HeadPath
)

// Record describes one change. It is stored in JSON.
type Record struct {
	// Change is the change id, unique in the fleet.
	Change string `json:"change"`
	// Number counts the changes from 1.
	Number uint64 `json:"number"`
	// Previous is the id of the previous change; empty for the first.
	Previous string `json:"previous,omitempty"`
	// Author is who made the change, as given on the command line.
	Author string `json:"author"`
	// At is the time of the change by the operator's clock.
	At time.Time `json:"at"`
	// Note is the operator's comment on the change.
	Note string `json:"note,omitempty"`
	// Paths lists what was changed, sorted by path.
	Paths []PathChange `json:"paths"`
	// Revision is the store's revision of the change. It is not stored, as it is known
	// only after the record is written: it is set in records that were read back and
	// in receipts.
	Revision uint64 `json:"revision,omitempty"`
}

// PathChange describes the change of one path.
type PathChange struct {
	// Path is the settings path.
	Path string `json:"path"`
	// Action is added, changed or removed.
	Action string `json:"action"`
}

// head is the value of the head key: a pointer to the newest change.
type head struct {
	Change string `json:"change"`
	Number uint64 `json:"number"`
}

// newID returns a change id. Ids sort by number, and are unique even if several
// operators try the same number.
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
