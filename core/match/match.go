// Package match decides whether the answers that arrive on a connection to a database can belong
// to the requests that were sent on it.
//
// Answers carry no request id, and a database may send one twice. The answer to a request is
// therefore used only together with that to a mark, a request of the host itself that follows
// it and whose answer is known in advance: if an answer was repeated or lost, the one that comes
// in place of the mark's belongs to another request, and differs from it.
//
// An answer that equals an earlier one of the connection, such as a second refusal, may be a
// repetition together with the mark that followed that one. It needs more marks than the
// earlier one had.
//
// An answer with a digest that equals an earlier one is a repetition, since a digest is that of
// one run of one statement. It is skipped, so that the statement gets its own. All other
// answers that don't match end the use of the connection.
package match

import (
	"hash/maphash"

	"github.com/pkg/errors"

	"coltsfootloft"
)

const (
	// historySize is how many of the latest answers of a connection are compared with.
	historySize = 512
	// maxMarks is the number of marks behind one request from which a connection should be
	// replaced instead of using more.
	maxMarks = 32
	// furtherMarks is how many more marks follow an answer that equals an earlier one than
	// followed that one. Some marks of other requests may have been repeated too.
	furtherMarks = 3
)

// NoDigest is the digest of answers to requests that read and write nothing.
const NoDigest = "-"

// ErrMismatch is the error of Accept if an answer can't belong to its request. The answers to
// all requests that are outstanding, and the latest answer, must not be used.
var ErrMismatch = errors.New("answer does not match the request")

// ErrRepeated is the error of Accept for an answer that is to be skipped.
var ErrRepeated = errors.New("repeated answer")

// Request is what was sent: a caller's statement or a command of the host.
type Request struct {
	verb      coltsfootloft.Verb
	command   coltsfootloft.CommandKind
	isCommand bool
}

// Statement returns the request for a caller's statement.
func Statement(v coltsfootloft.Verb) Request { return Request{verb: v} }

// Command returns the request for a command of the host.
func Command(k coltsfootloft.CommandKind) Request {
	return Request{
		command:   k,
		isCommand: true,
	}
}

// IsMark reports whether the request is a mark.
func (r Request) IsMark() bool { return r.isCommand && r.command == coltsfootloft.CommandMark }

// IsSetup reports whether the request prepares the connection for the statement behind it.
func (r Request) IsSetup() bool {
	return r.isCommand && (r.command == coltsfootloft.CommandSet || r.command == coltsfootloft.CommandPrepare || r.command == coltsfootloft.CommandReset)
}

// Marks returns how many marks follow the request at least. The answer to the begin of a transaction
// looks like that to a mark, so that one mark would not tell them apart.
func (r Request) Marks() int {
	switch {
	case r.IsMark() || r.IsSetup():
		return 0
	case !r.isCommand && r.begins():
		return 2
	default:
		return 1
	}
}

// String returns the verb of the statement or the kind of the command.
func (r Request) String() string {
	if r.isCommand {
		return r.command.String()
	}
	return r.verb.String()
}

func (r Request) begins() bool {
	return r.verb == coltsfootloft.VerbBegin || r.verb == coltsfootloft.VerbBeginRead
}

// Allows reports whether a can be the answer to the request in a session whose transaction state
// was before.
func (r Request) Allows(a coltsfootloft.Reply, before coltsfootloft.TxState) bool {
	switch {
	case r.IsMark() || r.IsSetup():
		return isMarkReply(a, before)
	case a.Failed():
		return r.allowsRefusal(a, before)
	case r.isCommand:
		return r.allowsCommandReply(a, before)
	case r.begins():
		return a.Digest == NoDigest && len(a.Rows) == 0 && a.State == coltsfootloft.TxOpen
	case r.verb == coltsfootloft.VerbCommit:
		return hasDigest(a) && len(a.Rows) == 0 && a.State == coltsfootloft.TxIdle
	default:
		return hasDigest(a) && a.State == before
	}
}

// allowsRefusal reports whether a can be the refusal of the request. That of a statement may leave a
// failed state outside of transactions, too.
func (r Request) allowsRefusal(a coltsfootloft.Reply, before coltsfootloft.TxState) bool {
	if before != coltsfootloft.TxIdle || a.State == coltsfootloft.TxIdle {
		return true
	}
	return !r.isCommand && a.State == coltsfootloft.TxFailed
}

// allowsCommandReply reports whether a can be the successful answer to a command.
func (r Request) allowsCommandReply(a coltsfootloft.Reply, before coltsfootloft.TxState) bool {
	if r.command == coltsfootloft.CommandRollback {
		return a.Digest == NoDigest && len(a.Rows) == 0 && a.State == coltsfootloft.TxIdle
	}
	return a.Digest == NoDigest && len(a.Rows) == 1 && a.State == before
}

// isMarkReply reports whether a is the answer to a mark in a session with this state. A failed
// transaction accepts nothing but its end.
func isMarkReply(a coltsfootloft.Reply, state coltsfootloft.TxState) bool {
	if a.State != state || len(a.Rows) > 0 {
		return false
	}
	if state == coltsfootloft.TxFailed {
		return a.Reason == coltsfootloft.ReasonMalformed
	}
	return !a.Failed() && a.Digest == NoDigest
}

func hasDigest(a coltsfootloft.Reply) bool { return a.Digest != "" && a.Digest != NoDigest }

// Sequence holds the requests of one connection whose answers are outstanding. The zero value is
// that of a new connection.
type Sequence struct {
	outstanding []Request
	state       coltsfootloft.TxState
	history     []answer // a ring of historySize
	next        int      // index in history of the oldest answer
	latest      int      // index in history of the latest answer
	// setups and marks are how many answers to setup commands came since the latest answer in
	// history, and how many to either kind.
	setups, marks int
	// statement is the request of the latest answer in history, and before the transaction state
	// that it was sent in.
	statement Request
	before    coltsfootloft.TxState
	// uncertain is set if the latest answer in history equals an earlier one.
	uncertain bool
}

// answer is an earlier answer to a statement, and the greatest number of answers to marks and
// setup commands that came between it and the next one.
type answer struct {
	sum   uint64
	marks int
	// dropped is set if the sum is not that of what the database sent.
	dropped bool
}

// sent is the part of an answer that is not text.
type sent struct {
	reason   coltsfootloft.Reason
	state    coltsfootloft.TxState
	position coltsfootloft.Position
}

var hashSeed = maphash.MakeSeed()

// Sent adds a request that was sent.
func (s *Sequence) Sent(r Request) { s.outstanding = append(s.outstanding, r) }

// Outstanding returns how many answers are outstanding.
func (s *Sequence) Outstanding() int { return len(s.outstanding) }

// State returns the transaction state after the latest answer.
func (s *Sequence) State() coltsfootloft.TxState { return s.state }

// Accept takes the next answer and returns the request that it belongs to. It fails with
// ErrRepeated if the answer is to be skipped, and with ErrMismatch if it can't belong to the request.
func (s *Sequence) Accept(a coltsfootloft.Reply) (Request, error) {
	var r Request
	if len(s.outstanding) > 0 {
		r = s.outstanding[0]
	}
	switch {
	case s.IsRepeated(a):
		return r, ErrRepeated
	case len(s.outstanding) == 0:
		return r, ErrMismatch
	case !r.Allows(a, s.state):
		return s.acceptOther(r, a)
	}
	s.outstanding = s.outstanding[1:]
	switch {
	case r.IsSetup():
		s.setups++
		s.countMark()
	case r.IsMark():
		s.countMark()
	default:
		s.statement = r
		s.before = s.state
	}
	s.state = a.State
	return r, nil
}

// acceptOther handles an answer that can't belong to the next request.
func (s *Sequence) acceptOther(r Request, a coltsfootloft.Reply) (Request, error) {
	mayBeOwn := r.IsMark() && s.uncertain && s.marks == 0 // of the statement before the mark
	if mayBeOwn && !a.Failed() && hasDigest(a) && s.statement.Allows(a, s.before) {
		// The answer before it was repeated, since a new digest is that of an outstanding statement.
		s.state = a.State
		return s.statement, nil
	}
	return r, ErrMismatch
}

// IsRepeated reports whether an answer has a digest and equals an earlier one.
func (s *Sequence) IsRepeated(a coltsfootloft.Reply) bool {
	return !a.Failed() && hasDigest(a) && s.find(sumOf(a)) >= 0
}

// countMark counts an answer that looks like that to a mark.
func (s *Sequence) countMark() {
	if len(s.history) > 0 {
		s.marks++
		h := &s.history[s.latest]
		h.marks = max(h.marks, s.marks)
	}
}

// find returns the index in history of the answer with this hash, or -1.
func (s *Sequence) find(sum uint64) int {
	for i, h := range s.history {
		if h.sum == sum {
			return i
		}
	}
	return -1
}

// MarksNeeded returns how many marks must be sent in addition to those that are outstanding, before
// an answer to a statement, which was just accepted, may be used. The answers to the setup
// commands before the statement look like those to marks, if they come late.
func (s *Sequence) MarksNeeded(a coltsfootloft.Reply) int {
	setups := s.setups
	s.setups = 0
	s.marks = 0
	sum := sumOf(a)
	i := s.find(sum)
	earlier, ok := s.droppedMarks()
	if i >= 0 {
		earlier, ok = s.history[i].marks, true
		s.latest = i
	} else {
		s.add(answer{
			sum:     sum,
			dropped: a.Reason == coltsfootloft.ReasonTooLarge,
		})
	}
	s.uncertain = ok
	if !ok {
		return 0
	}
	return max(0, earlier+furtherMarks+setups-len(s.outstanding))
}

func (s *Sequence) add(h answer) {
	if len(s.history) < historySize {
		s.history = append(s.history, answer{})
	}
	s.latest = s.next
	s.next = (s.next + 1) % historySize
	s.history[s.latest] = h
}

// droppedMarks returns the greatest number of marks that came behind an answer whose rows were dropped. It
// reports false if there was none. Any later answer may be its repetition.
func (s *Sequence) droppedMarks() (marks int, ok bool) {
	for _, h := range s.history {
		if h.dropped {
			marks = max(marks, h.marks)
			ok = true
		}
	}
	return marks, ok
}

// ShouldReplace reports whether the connection should be replaced: an answer needs too many marks, or was dropped,
// so that a repetition of it would not be recognized.
func (s *Sequence) ShouldReplace() bool {
	for _, h := range s.history {
		if h.marks >= maxMarks || h.dropped {
			return true
		}
	}
	return false
}

// sumOf returns a hash of all that a database sends in an answer.
func sumOf(a coltsfootloft.Reply) uint64 {
	var h maphash.Hash
	h.SetSeed(hashSeed)
	for _, row := range a.Rows {
		_, _ = h.WriteString(row)
		_ = h.WriteByte('\n')
	}
	_, _ = h.WriteString(a.Digest)
	_ = h.WriteByte('\n')
	_, _ = h.WriteString(a.Text)
	maphash.WriteComparable(&h, sent{
		reason:   a.Reason,
		state:    a.State,
		position: a.Position,
	})
	return h.Sum64()
}
