package dbase

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"

	"coltsfootloft"
)

// lockTimeout bounds the wait for the write lock.
const lockTimeout = 30 * time.Second

// transaction is the state of a session's transaction.
type transaction struct {
	// open is set inside BEGIN and COMMIT.
	open bool
	// failed is set when only ROLLBACK is left to do.
	failed bool
	// lost is set when the database has lost its reign and rolled back.
	lost     bool
	readOnly bool
	snapshot bool
	// reading and writing tell what the engine's transaction is for.
	reading bool
	writing bool
	reign   coltsfootloft.Term
	changes []change
	marks   []mark
	// schema is set once the transaction has changed tables.
	schema bool
}

// mark is a savepoint: its name and the number of changes before it.
type mark struct {
	name    string
	changes int
}

// tagRollback ends a transaction, and is the tag of having done so.
const tagRollback = "ROLLBACK"

// Transaction states of ReadyForQuery.
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

func errReign() error { return failure(codeSerialization, "transaction was ended by a change of term") }

// check refuses statements that the state of the transaction rules out.
func (x *session) check(s *statement) error {
	switch s.verb {
	case verbCommit, verbRollback:
		return nil
	case verbRollbackTo:
		if !x.tx.lost {
			return nil
		}
	default:
	}
	if x.tx.lost && !x.tx.failed {
		return errReign()
	}
	if x.tx.failed {
		return failure(codeFailed, "current transaction is aborted, commands ignored until end of transaction block")
	}
	return nil
}

// startRead opens a snapshot where the isolation level asks for one.
func (x *session) startRead() error {
	if !x.tx.open || !x.tx.snapshot || x.tx.reading || x.tx.writing {
		return nil
	}
	if err := x.handle.exec("BEGIN"); err != nil {
		return err
	}
	x.tx.reading = true
	return x.replayMarks()
}

// startWrite takes the write lock and opens the engine's transaction.
func (x *session) startWrite(ctx context.Context) error {
	if x.tx.readOnly {
		return failure(codeReadOnly, "cannot execute this statement in a read-only transaction")
	}
	reign, err := x.server.reign()
	if err != nil {
		return err
	}
	if x.tx.writing {
		if reign != x.tx.reign {
			return failure(codeReadOnly, "cannot execute this statement in a read-only transaction: term %s has ended", x.tx.reign)
		}
		return nil
	}
	if err := x.lockWriter(ctx); err != nil {
		return err
	}
	x.tx.writing = true
	if x.tx.reign, err = x.server.reign(); err != nil {
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
	return x.replayMarks()
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
		return failure(codeCancelled, "canceling statement due to user request")
	}
	return failure(codeLock, "canceling statement due to lock timeout")
}

func (x *session) stopWriting() {
	if x.tx.writing {
		x.tx.writing = false
		x.server.unlockWriter()
	}
}

func (x *session) replayMarks() error {
	for _, m := range x.tx.marks {
		if err := x.handle.exec("SAVEPOINT " + m.name); err != nil {
			return err
		}
	}
	return nil
}

// rollback ends the transaction without its changes.
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

// commit ends the transaction with its changes.
func (x *session) commit() error {
	x.closePortals()
	if x.tx.lost {
		x.rollback()
		return errReign()
	}
	if !x.tx.writing || len(x.tx.changes) == 0 {
		x.rollback()
		return nil
	}
	p, err := x.server.commit(x.handle, x.tx.reign, x.tx.changes)
	if err != nil {
		x.rollback()
		return err
	}
	if x.tx.schema {
		x.server.ddl.Add(1)
	}
	x.last = p
	x.stopWriting()
	x.tx = transaction{}
	return nil
}

// endImplicit commits what statements outside a block have done.
func (x *session) endImplicit() error {
	if x.tx.open {
		return nil
	}
	return x.commit()
}

// fail notes an error: outside a block nothing of the transaction stays.
func (x *session) fail() {
	x.closePortals()
	if !x.tx.open {
		x.rollback()
		return
	}
	x.tx.failed = true
}

// control runs the statements that begin and end transactions.
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
	x.characterise(s.tokens)
	if s.tag == "START" {
		return "START TRANSACTION", nil
	}
	return "BEGIN", nil
}

// characterise reads access mode and isolation level.
func (x *session) characterise(w []token) {
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

// markName is the last word of SAVEPOINT a, RELEASE a and ROLLBACK TO a, quoted
// for the engine.
func markName(s *statement) string {
	name := strings.ToLower(unquote(s.tokens[len(s.tokens)-1]))
	return `"` + strings.ReplaceAll(name, `"`, `""`) + `"`
}

func (x *session) savepoint(s *statement) error {
	if !x.tx.open {
		return failure(codeNoTransaction, "SAVEPOINT can only be used in transaction blocks")
	}
	m := mark{
		name:    markName(s),
		changes: len(x.tx.changes),
	}
	if err := x.engineMark("SAVEPOINT " + m.name); err != nil {
		return err
	}
	x.tx.marks = append(x.tx.marks, m)
	return nil
}

func (x *session) release(s *statement) error {
	i, err := x.findMark(s)
	if err != nil {
		return err
	}
	if err := x.engineMark("RELEASE " + x.tx.marks[i].name); err != nil {
		return err
	}
	x.tx.marks = x.tx.marks[:i]
	return nil
}

func (x *session) rollbackTo(s *statement) error {
	i, err := x.findMark(s)
	if err != nil {
		return err
	}
	x.closePortals()
	if err := x.engineMark("ROLLBACK TO " + x.tx.marks[i].name); err != nil {
		return err
	}
	x.tx.marks = x.tx.marks[:i+1]
	x.tx.changes = x.tx.changes[:x.tx.marks[i].changes]
	x.tx.failed = false
	return nil
}

func (x *session) findMark(s *statement) (int, error) {
	if !x.tx.open {
		return 0, failure(codeNoTransaction, "%s can only be used in transaction blocks", s.tag)
	}
	name := markName(s)
	for i := len(x.tx.marks) - 1; i >= 0; i-- {
		if x.tx.marks[i].name == name {
			return i, nil
		}
	}
	return 0, failure(codeNoSavepoint, "savepoint %s does not exist", name)
}

// engineMark runs a savepoint statement if the engine's transaction is open.
func (x *session) engineMark(text string) error {
	if !x.tx.reading && !x.tx.writing {
		return nil
	}
	return x.handle.exec(text)
}
