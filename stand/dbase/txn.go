package dbase

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// lockTimeout limits the wait for the write lock.
const lockTimeout = 30 * time.Second

// transaction is the state of a session's transaction.
type transaction struct {
	// open is set inside a transaction block, between BEGIN and COMMIT.
	open bool
	// failed is set after an error in the block, when only a rollback is accepted.
	failed bool
	// termEnded is set when the transaction was rolled back because its term has
	// ended.
	termEnded bool
	readOnly  bool
	snapshot  bool
	// reading and writing are set while the engine has a transaction open: reading
	// for a snapshot, writing with the write lock held.
	reading    bool
	writing    bool
	term       coltsfootloft.Term
	changes    []change
	savepoints []savepoint
	// schema is set once the transaction has changed the schema.
	schema bool
}

// savepoint is a savepoint with the number of changes before it. Its name is
// quoted.
type savepoint struct {
	name    string
	changes int
}

// tagRollback is both the statement that ends a transaction and its command tag.
const tagRollback = "ROLLBACK"

// Transaction status bytes of ReadyForQuery.
const (
	statusIdle   byte = 'I'
	statusOpen   byte = 'T'
	statusFailed byte = 'E'
)

func (t *transaction) status() byte {
	switch {
	case !t.open:
		return statusIdle
	case t.failed:
		return statusFailed
	}
	return statusOpen
}

func errTermEnded() error {
	return sqlErrorf(codeSerialization, "transaction was ended by a change of term")
}

// check refuses statements that are not allowed in the state of the transaction.
func (x *session) check(s *statement) error {
	switch s.verb {
	case verbCommit, verbRollback:
		return nil
	case verbRollbackTo:
		if !x.tx.termEnded {
			return nil
		}
	default:
	}
	if x.tx.termEnded && !x.tx.failed {
		return errTermEnded()
	}
	if x.tx.failed {
		return sqlErrorf(codeFailedTransaction, "current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}

// startRead opens a snapshot if the isolation level requires one.
func (x *session) startRead() error {
	if !x.tx.open || !x.tx.snapshot || x.tx.reading || x.tx.writing {
		return nil
	}
	if err := x.handle.exec("BEGIN"); err != nil {
		return err
	}
	x.tx.reading = true
	return x.replaySavepoints()
}

// startWrite acquires the write lock and opens the engine's transaction, unless
// they are held already.
func (x *session) startWrite(ctx context.Context) error {
	if x.tx.readOnly {
		return sqlErrorf(codeReadOnly, "cannot execute this statement in a read-only transaction")
	}
	term, err := x.server.primaryTerm()
	if err != nil {
		return err
	}
	if x.tx.writing {
		if term != x.tx.term {
			return sqlErrorf(codeReadOnly, "cannot execute this statement in a read-only transaction: term %s has ended", x.tx.term)
		}
		return nil
	}
	if err := x.lockWriter(ctx); err != nil {
		return err
	}
	x.tx.writing = true
	if x.tx.term, err = x.server.primaryTerm(); err != nil {
		x.stopWriting()
		return err
	}
	if x.tx.reading {
		return nil
	}
	if err := x.handle.exec("BEGIN IMMEDIATE"); err != nil {
		x.stopWriting()
		return err
	}
	return x.replaySavepoints()
}

func (x *session) lockWriter(ctx context.Context) error {
	if x.server.tryLockWriter(x) {
		return nil
	}
	watched, stop := x.conn.watch(ctx)
	defer stop()
	wait, cancel := context.WithTimeout(watched, lockTimeout)
	defer cancel()
	if x.server.lockWriter(wait, x) == nil {
		return nil
	}
	if watched.Err() != nil {
		return sqlErrorf(codeCancelled, "canceling statement due to user request")
	}
	return sqlErrorf(codeLockNotAvailable, "canceling statement due to lock timeout")
}

func (x *session) stopWriting() {
	if x.tx.writing {
		x.tx.writing = false
		x.server.unlockWriter()
	}
}

func (x *session) replaySavepoints() error {
	for _, m := range x.tx.savepoints {
		if err := x.handle.exec("SAVEPOINT " + m.name); err != nil {
			return err
		}
	}
	return nil
}

// rollback rolls the transaction back.
func (x *session) rollback() {
	x.closePortals()
	if (x.tx.reading || x.tx.writing) && x.handle != nil && !x.handle.autocommit() {
		if err := x.handle.exec(tagRollback); err != nil {
			x.server.Log.Error(err, "rollback", "name", x.server.Name)
		}
	}
	x.stopWriting()
	x.tx = transaction{}
}

// commit commits the transaction, or rolls it back if it has no changes.
func (x *session) commit() error {
	x.closePortals()
	if x.tx.termEnded {
		x.rollback()
		return errTermEnded()
	}
	if !x.tx.writing || len(x.tx.changes) == 0 {
		x.rollback()
		return nil
	}
	p, err := x.server.commit(x.handle, x.tx.term, x.tx.changes)
	if err != nil {
		x.rollback()
		return err
	}
	if x.tx.schema {
		x.server.schemaVersion.Add(1)
	}
	x.lastCommit = p
	x.stopWriting()
	x.tx = transaction{}
	return nil
}

// endImplicit commits the implicit transaction of statements outside a block.
func (x *session) endImplicit() error {
	if x.tx.open {
		return nil
	}
	return x.commit()
}

// failTransaction handles an error of a statement: in a block it marks the
// transaction as failed, outside it rolls back.
func (x *session) failTransaction() {
	x.closePortals()
	if !x.tx.open {
		x.rollback()
		return
	}
	x.tx.failed = true
}

// control runs the statements that control transactions and savepoints. It returns
// the command tag.
func (x *session) control(s *statement) (string, error) {
	switch s.verb {
	case verbBegin:
		return x.beginBlock(s)
	case verbCommit:
		if x.tx.failed {
			x.rollback()
			return tagRollback, nil
		}
		return "COMMIT", x.commit()
	case verbRollback:
		x.rollback()
		return tagRollback, nil
	case verbSavepoint:
		return "SAVEPOINT", x.savepoint(s)
	case verbRelease:
		return "RELEASE", x.release(s)
	case verbRollbackTo:
		return tagRollback, x.rollbackTo(s)
	default:
		return "", errors.Errorf("%s is not a transaction statement", s.tag)
	}
}

func (x *session) beginBlock(s *statement) (string, error) {
	if !x.tx.open {
		x.tx.open = true
		x.tx.readOnly = isOn(x.settings["default_transaction_read_only"])
		x.tx.snapshot = isSnapshot(x.settings["default_transaction_isolation"])
	}
	x.setTransactionModes(s.tokens)
	if s.tag == "START" {
		return "START TRANSACTION", nil
	}
	return "BEGIN", nil
}

// setTransactionModes sets the access mode and the isolation level that w asks for.
func (x *session) setTransactionModes(w []token) {
	for i, t := range w {
		switch {
		case t.is("only") && w[i-1].is("read"):
			x.tx.readOnly = true
		case t.is("write") && w[i-1].is("read"):
			x.tx.readOnly = false
		case t.is("repeatable"), t.is("serializable"):
			x.tx.snapshot = true
		case t.is("committed"), t.is("uncommitted"):
			x.tx.snapshot = false
		}
	}
}

func isSnapshot(level string) bool {
	l := strings.ToLower(level)
	return l == "serializable" || l == "repeatable read"
}

// savepointName returns the last word of SAVEPOINT a, RELEASE a or ROLLBACK TO a,
// quoted for the engine.
func savepointName(s *statement) string {
	name := strings.ToLower(unquote(s.tokens[len(s.tokens)-1]))
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}

func (x *session) savepoint(s *statement) error {
	if !x.tx.open {
		return sqlErrorf(codeNoTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	m := savepoint{
		name:    savepointName(s),
		changes: len(x.tx.changes),
	}
	if err := x.execSavepoint("SAVEPOINT " + m.name); err != nil {
		return err
	}
	x.tx.savepoints = append(x.tx.savepoints, m)
	return nil
}

func (x *session) release(s *statement) error {
	i, err := x.findSavepoint(s)
	if err != nil {
		return err
	}
	if err := x.execSavepoint("RELEASE " + x.tx.savepoints[i].name); err != nil {
		return err
	}
	x.tx.savepoints = x.tx.savepoints[:i]
	return nil
}

func (x *session) rollbackTo(s *statement) error {
	i, err := x.findSavepoint(s)
	if err != nil {
		return err
	}
	x.closePortals()
	if err := x.execSavepoint("ROLLBACK TO " + x.tx.savepoints[i].name); err != nil {
		return err
	}
	x.tx.savepoints = x.tx.savepoints[:i+1]
	x.tx.changes = x.tx.changes[:x.tx.savepoints[i].changes]
	x.tx.failed = false
	return nil
}

func (x *session) findSavepoint(s *statement) (int, error) {
	if !x.tx.open {
		return 0, sqlErrorf(codeNoTransaction, "%s can only be used in transaction blocks", s.tag)
	}
	name := savepointName(s)
	for i := len(x.tx.savepoints) - 1; i >= 0; i-- {
		if x.tx.savepoints[i].name == name {
			return i, nil
		}
	}
	return 0, sqlErrorf(codeNoSavepoint, "savepoint %s does not exist", name)
}

// execSavepoint runs a savepoint statement in the engine if it has a transaction
// open.
func (x *session) execSavepoint(text string) error {
	if !x.tx.reading && !x.tx.writing {
		return nil
	}
	return x.handle.exec(text)
}
