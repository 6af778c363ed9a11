package dbase

import "strings"

// tables holds the schema, from which the types of parameters and results are
// inferred.
type tables struct {
	// types maps the names of columns to their type OIDs. A name that has different
	// types in several tables gets the type of one of them.
	types map[string]uint32
	// columns lists the columns of each table in order.
	columns map[string][]string
}

// readTables reads the schema of the data file. After an error it returns the part
// read so far.
func readTables(h *handle) *tables {
	out := &tables{
		types:   make(map[string]uint32),
		columns: make(map[string][]string),
	}
	c, err := h.prepare("SELECT lower(t.name), lower(c.name), c.type FROM sqlite_master t, pragma_table_info(t.name) c WHERE t.type = 'table' ORDER BY t.name, c.cid")
	if err != nil {
		return out
	}
	defer c.release()
	for {
		more, err := c.step()
		if err != nil || !more {
			return out
		}
		table, _ := c.value(0).(string)
		name, _ := c.value(1).(string)
		declared, _ := c.value(2).(string)
		out.types[name] = typeOf(declared)
		out.columns[table] = append(out.columns[table], name)
	}
}

// typeOf returns the type OID of the column that a token names, or 0.
func (t *tables) typeOf(name token) uint32 {
	if t == nil {
		return 0
	}
	return t.types[strings.ToLower(unquote(name))]
}

// columnsOf returns the columns of the table that a token names.
func (t *tables) columnsOf(name token) []string {
	if t == nil {
		return nil
	}
	return t.columns[strings.ToLower(unquote(name))]
}
