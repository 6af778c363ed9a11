package change

import (
	"context"

	"github.com/pkg/errors"
)

// ErrNoRecord is returned for a change id that the store has no record of.
var ErrNoRecord = errors.New("no record of this change")

// Find returns the record of one change. It fails with [ErrNoRecord] if the store has
// none.
func (e *Editor) Find(ctx context.Context, id string) (Record, error) {
	entry, err := e.Store.Read(ctx, HistoryPrefix+id)
	if err != nil {
		return Record{}, errors.Wrapf(err, "record of change %s", id)
	}
	if entry.Version() == 0 {
		return Record{}, errors.Wrapf(ErrNoRecord, "change %s", id)
	}
	return decodeRecord(entry)
}

// History returns the newest changes, at most limit, newest first. It makes one read
// of the store per change, and ends at a missing record.
func (e *Editor) History(ctx context.Context, limit int) ([]Record, error) {
	entry, err := e.Store.Read(ctx, headKey)
	if err != nil {
		return nil, errors.Wrap(err, "newest change")
	}
	h, err := decodeHead(entry)
	if err != nil {
		return nil, err
	}
	var list []Record
	for id := h.Change; id != "" && len(list) < limit; {
		r, err := e.Find(ctx, id)
		if errors.Is(err, ErrNoRecord) && len(list) > 0 {
			break
		}
		if err != nil {
			return list, err
		}
		list = append(list, r)
		id = r.Previous
	}
	return list, nil
}
