package dbase

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/pkg/errors"
	"modernc.org/libc"
	lite "modernc.org/sqlite/lib"
)

// maxCached is the maximum number of prepared SQLite statements that a connection
// caches.
const maxCached = 256

// engineError is an error of the SQL engine with its extended result code.
type engineError struct {
	code    int32
	message string
}

func (e *engineError) Error() string { return e.message }

// handle is a connection to the SQL engine. Only one goroutine may use it at a
// time, except for interrupt.
type handle struct {
	tls     *libc.TLS
	db      uintptr
	scratch uintptr
	cache   map[string]*cursor
}

// pragmas configure a connection to the engine. The page cache is small because
// every client connection has its own.
var pragmas = []string{
	"PRAGMA journal_mode=WAL",
	"PRAGMA synchronous=OFF",
	"PRAGMA temp_store=MEMORY",
	"PRAGMA foreign_keys=ON",
	"PRAGMA cache_size=-256",
}

// openHandle opens the data file at path and creates it if it is missing.
func openHandle(path string) (*handle, error) {
	h := &handle{
		tls:   libc.NewTLS(),
		cache: make(map[string]*cursor),
	}
	name, err := libc.CString(path)
	if err != nil {
		return nil, errors.Wrap(err, "open engine")
	}
	defer libc.Xfree(h.tls, name)
	h.scratch = libc.Xmalloc(h.tls, 16)
	flags := int32(lite.SQLITE_OPEN_READWRITE | lite.SQLITE_OPEN_CREATE | lite.SQLITE_OPEN_NOMUTEX)
	rc := lite.Xsqlite3_open_v2(h.tls, name, h.scratch, flags, 0)
	h.db = h.pointer(0)
	if rc != lite.SQLITE_OK {
		err := h.lastError(rc)
		h.close()
		return nil, errors.Wrap(err, "open engine")
	}
	lite.Xsqlite3_busy_timeout(h.tls, h.db, 10_000)
	for _, q := range pragmas {
		if err := h.exec(q); err != nil {
			h.close()
			return nil, errors.Wrap(err, q)
		}
	}
	return h, nil
}

func (h *handle) close() {
	h.clearCache()
	lite.Xsqlite3_close_v2(h.tls, h.db)
	libc.Xfree(h.tls, h.scratch)
	h.tls.Close()
}

// clearCache empties the cache of statements. Those in use are finalized when they
// are released.
func (h *handle) clearCache() {
	for k, c := range h.cache {
		if !c.busy {
			lite.Xsqlite3_finalize(h.tls, c.stmt)
		}
		c.cached = false
		delete(h.cache, k)
	}
}

// pointer reads the address stored at this offset of the scratch memory.
func (h *handle) pointer(offset uintptr) uintptr {
	return uintptr(binary.NativeEndian.Uint64(libc.GoBytes(h.scratch+offset, 8)))
}

func (h *handle) lastError(rc int32) error {
	if h.db == 0 {
		return &engineError{
			code:    rc,
			message: "engine has no memory",
		}
	}
	return &engineError{
		code:    lite.Xsqlite3_extended_errcode(h.tls, h.db),
		message: libc.GoString(lite.Xsqlite3_errmsg(h.tls, h.db)),
	}
}

// interrupt aborts the running statement, if any. Any goroutine may call it.
func (h *handle) interrupt() {
	t := libc.NewTLS()
	defer t.Close()
	lite.Xsqlite3_interrupt(t, h.db)
}

// prepare returns an idle cursor for query, from the cache if possible. It is nil
// if query holds only space and comments.
func (h *handle) prepare(query string) (*cursor, error) {
	if c := h.cache[query]; c != nil && !c.busy {
		c.busy = true
		return c, nil
	}
	text, err := libc.CString(query)
	if err != nil {
		return nil, errors.Wrap(err, "prepare")
	}
	defer libc.Xfree(h.tls, text)
	rc := lite.Xsqlite3_prepare_v2(h.tls, h.db, text, int32(len(query)), h.scratch, 0)
	if rc != lite.SQLITE_OK {
		return nil, h.lastError(rc)
	}
	stmt := h.pointer(0)
	if stmt == 0 {
		return nil, nil
	}
	c := newCursor(h, stmt)
	if _, ok := h.cache[query]; !ok {
		if len(h.cache) >= maxCached {
			h.clearCache()
		}
		h.cache[query] = c
		c.cached = true
	}
	return c, nil
}

// exec runs query to completion and discards its rows.
func (h *handle) exec(query string, args ...any) error {
	c, err := h.prepare(query)
	if err != nil || c == nil {
		return err
	}
	defer c.release()
	if err := c.bind(args); err != nil {
		return err
	}
	for more := true; more; {
		if more, err = c.step(); err != nil {
			return err
		}
	}
	return nil
}

// changes returns the number of rows that the last INSERT, UPDATE or DELETE
// changed.
func (h *handle) changes() int64 { return int64(lite.Xsqlite3_changes(h.tls, h.db)) }

// autocommit reports whether no engine transaction is open.
func (h *handle) autocommit() bool {
	return lite.Xsqlite3_get_autocommit(h.tls, h.db) != 0
}

// cursor is a prepared statement of the engine.
type cursor struct {
	handle  *handle
	stmt    uintptr
	params  []param
	columns int
	busy    bool
	cached  bool
}

func newCursor(h *handle, stmt uintptr) *cursor {
	c := &cursor{
		handle:  h,
		stmt:    stmt,
		columns: int(lite.Xsqlite3_column_count(h.tls, stmt)),
		busy:    true,
	}
	n := lite.Xsqlite3_bind_parameter_count(h.tls, stmt)
	for i := int32(1); i <= n; i++ {
		name := libc.GoString(lite.Xsqlite3_bind_parameter_name(h.tls, stmt, i))
		c.params = append(c.params, parseParam(name))
	}
	return c
}

// release makes the cursor idle, or finalizes it if it is not cached.
func (c *cursor) release() {
	if !c.busy {
		return
	}
	c.busy = false
	if !c.cached {
		lite.Xsqlite3_finalize(c.handle.tls, c.stmt)
		return
	}
	lite.Xsqlite3_reset(c.handle.tls, c.stmt)
	lite.Xsqlite3_clear_bindings(c.handle.tls, c.stmt)
}

func (c *cursor) readOnly() bool {
	return lite.Xsqlite3_stmt_readonly(c.handle.tls, c.stmt) != 0
}

// bind sets parameter $n to args[n-1].
func (c *cursor) bind(args []any) error {
	for i, p := range c.params {
		if p.number < 1 || p.number > len(args) {
			return sqlErrorf(codeUndefinedParameter, "there is no parameter $%d", p.number)
		}
		if rc := c.bindOne(int32(i+1), args[p.number-1]); rc != lite.SQLITE_OK {
			return c.handle.lastError(rc)
		}
	}
	return nil
}

func (c *cursor) bindOne(i int32, arg any) int32 {
	t := c.handle.tls
	switch v := arg.(type) {
	case int64:
		return lite.Xsqlite3_bind_int64(t, c.stmt, i, v)
	case float64:
		return lite.Xsqlite3_bind_double(t, c.stmt, i, v)
	case string:
		p, err := libc.CString(v)
		if err != nil {
			return lite.SQLITE_NOMEM
		}
		defer libc.Xfree(t, p)
		return lite.Xsqlite3_bind_text(t, c.stmt, i, p, int32(len(v)), ^uintptr(0))
	case []byte:
		p, err := libc.CString(string(v))
		if err != nil {
			return lite.SQLITE_NOMEM
		}
		defer libc.Xfree(t, p)
		return lite.Xsqlite3_bind_blob(t, c.stmt, i, p, int32(len(v)), ^uintptr(0))
	}
	return lite.Xsqlite3_bind_null(t, c.stmt, i)
}

// step moves to the next row and reports whether there is one.
func (c *cursor) step() (bool, error) {
	switch rc := lite.Xsqlite3_step(c.handle.tls, c.stmt); rc {
	case lite.SQLITE_ROW:
		return true, nil
	case lite.SQLITE_DONE:
		return false, nil
	default:
		return false, c.handle.lastError(rc)
	}
}

func (c *cursor) name(i int) string {
	return libc.GoString(lite.Xsqlite3_column_name(c.handle.tls, c.stmt, int32(i)))
}

// declared returns the declared type of the table's column, or an empty text for
// an expression.
func (c *cursor) declared(i int) string {
	return libc.GoString(lite.Xsqlite3_column_decltype(c.handle.tls, c.stmt, int32(i)))
}

// value returns a column of the current row: nil, int64, float64, string or
// []byte.
func (c *cursor) value(i int) any {
	t, n := c.handle.tls, int32(i)
	switch lite.Xsqlite3_column_type(t, c.stmt, n) {
	case lite.SQLITE_INTEGER:
		return lite.Xsqlite3_column_int64(t, c.stmt, n)
	case lite.SQLITE_FLOAT:
		f := lite.Xsqlite3_column_double(t, c.stmt, n)
		if math.IsNaN(f) {
			return nil
		}
		return f
	case lite.SQLITE_TEXT:
		p := lite.Xsqlite3_column_text(t, c.stmt, n)
		return string(libc.GoBytes(p, int(lite.Xsqlite3_column_bytes(t, c.stmt, n))))
	case lite.SQLITE_BLOB:
		p := lite.Xsqlite3_column_blob(t, c.stmt, n)
		size := int(lite.Xsqlite3_column_bytes(t, c.stmt, n))
		if size == 0 {
			return []byte{}
		}
		return bytes.Clone(libc.GoBytes(p, size))
	}
	return nil
}
