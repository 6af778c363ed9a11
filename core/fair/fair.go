// Package fair orders waiters of several client accounts by deficit round robin.
//
// Each client account has a queue of its own, first in, first out. A round
// visits the accounts that have waiters; a visit serves as many items as the
// account's weight. An account with a thousand waiters therefore delays another
// account's single waiter by at most one visit of each account, not by a
// thousand items. Queues are bounded per account and in all, and a full one is
// an outcome of Push, not a wait.
package fair

// Bounds of a Queue whose fields are zero, in items.
const (
	DefaultPerAccount = 256
	DefaultTotal      = 4096
)

// Queue holds waiters by client account. The zero value is ready to use. It is
// not safe for concurrent use.
type Queue[T any] struct {
	// PerAccount bounds the waiters of one account; zero means
	// [DefaultPerAccount].
	PerAccount int
	// Total bounds all waiters; zero means [DefaultTotal].
	Total int

	accounts map[string]*line[T]
	current  *line[T]
	length   int
}

// Ticket is a place in a Queue.
type Ticket[T any] struct {
	item     T
	line     *line[T]
	previous *Ticket[T]
	next     *Ticket[T]
}

// Item is what was pushed.
func (t *Ticket[T]) Item() T { return t.item }

// line is the queue of one account and a link of the ring of accounts that have
// waiters.
type line[T any] struct {
	account  string
	weight   int
	deficit  int
	length   int
	head     *Ticket[T]
	tail     *Ticket[T]
	previous *line[T]
	next     *line[T]
}

// Push queues an item for an account. An account of weight 2 is served two items
// a visit; weights below 1 count as 1, and the newest weight counts. Push
// reports false, and queues nothing, when the account's queue or the whole is
// full.
func (q *Queue[T]) Push(account string, weight int, item T) (*Ticket[T], bool) {
	if q.length >= orDefault(q.Total, DefaultTotal) {
		return nil, false
	}
	n := q.line(account)
	if n.length >= orDefault(q.PerAccount, DefaultPerAccount) {
		return nil, false
	}
	n.weight = max(weight, 1)
	t := &Ticket[T]{
		item: item,
		line: n,
	}
	n.append(t)
	q.length++
	return t, true
}

// Pop removes the next item in the order of the rounds.
func (q *Queue[T]) Pop() (item T, account string, ok bool) {
	n := q.current
	if n == nil {
		return item, "", false
	}
	if n.deficit <= 0 {
		n.deficit = n.weight
	}
	n.deficit--
	t := n.head
	if n.deficit <= 0 {
		q.current = n.next
	}
	q.remove(t)
	return t.item, n.account, true
}

// Remove takes a waiter out of the queue and reports whether it was still in it.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t == nil || t.line == nil {
		return false
	}
	q.remove(t)
	return true
}

// Len counts all waiters.
func (q *Queue[T]) Len() int { return q.length }

// LenOf counts the waiters of one account.
func (q *Queue[T]) LenOf(account string) int {
	n, ok := q.accounts[account]
	if !ok {
		return 0
	}
	return n.length
}

func (q *Queue[T]) line(account string) *line[T] {
	if n, ok := q.accounts[account]; ok {
		return n
	}
	if q.accounts == nil {
		q.accounts = make(map[string]*line[T])
	}
	n := &line[T]{account: account}
	q.accounts[account] = n
	q.enter(n)
	return n
}

// enter puts the line behind all others of the ring.
func (q *Queue[T]) enter(n *line[T]) {
	if q.current == nil {
		n.next = n
		n.previous = n
		q.current = n
		return
	}
	n.next = q.current
	n.previous = q.current.previous
	n.previous.next = n
	q.current.previous = n
}

func (q *Queue[T]) leave(n *line[T]) {
	delete(q.accounts, n.account)
	if n.next == n {
		q.current = nil
		return
	}
	n.previous.next = n.next
	n.next.previous = n.previous
	if q.current == n {
		q.current = n.next
	}
}

func (q *Queue[T]) remove(t *Ticket[T]) {
	n := t.line
	n.unlink(t)
	q.length--
	if n.length == 0 {
		q.leave(n)
	}
}

func (n *line[T]) append(t *Ticket[T]) {
	t.previous = n.tail
	if n.tail == nil {
		n.head = t
	} else {
		n.tail.next = t
	}
	n.tail = t
	n.length++
}

func (n *line[T]) unlink(t *Ticket[T]) {
	if t.previous == nil {
		n.head = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		n.tail = t.previous
	} else {
		t.next.previous = t.previous
	}
	t.line = nil
	t.next = nil
	t.previous = nil
	n.length--
}

func orDefault(n, standard int) int {
	if n <= 0 {
		return standard
	}
	return n
}
