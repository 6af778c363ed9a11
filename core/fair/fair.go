// Package fair orders waiters of several client accounts by deficit round robin.
//
// Each client account has its own FIFO queue. A round visits the accounts that
// have waiters, and each visit serves as many items as the weight of the account.
// An account with a thousand waiters therefore delays the single waiter of
// another account by at most one visit of each account, not by a thousand items.
// An item may have a rank, which orders the items of its account in place of arrival.
// Queues are bounded per account and in total; if a bound is reached, Push fails
// instead of blocking.
package fair

// Default bounds of a Queue, in items.
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

	accounts map[string]*accountQueue[T]
	current  *accountQueue[T]
	length   int
}

// Ticket identifies an item in a Queue.
type Ticket[T any] struct {
	item     T
	rank     int64
	queue    *accountQueue[T]
	previous *Ticket[T]
	next     *Ticket[T]
}

// Item returns the pushed item.
func (t *Ticket[T]) Item() T { return t.item }

// accountQueue is the queue of one account, and a node of the circular list of
// accounts that have waiters.
type accountQueue[T any] struct {
	account  string
	weight   int
	deficit  int
	length   int
	head     *Ticket[T]
	tail     *Ticket[T]
	previous *accountQueue[T]
	next     *accountQueue[T]
}

// Push queues an item for an account. A visit serves as many items as the weight;
// weights below 1 count as 1, and the weight of the latest Push applies. Push
// reports false, and queues nothing, if the queue of the account or the whole
// Queue is full.
func (q *Queue[T]) Push(account string, weight int, item T) (*Ticket[T], bool) {
	return q.PushRanked(account, weight, 0, item)
}

// PushRanked is like Push, but the item is served before the items of its account that
// have a higher rank.
func (q *Queue[T]) PushRanked(account string, weight int, rank int64, item T) (*Ticket[T], bool) {
	if q.length >= orDefault(q.Total, DefaultTotal) {
		return nil, false
	}
	n := q.queueOf(account)
	if n.length >= orDefault(q.PerAccount, DefaultPerAccount) {
		return nil, false
	}
	n.weight = max(weight, 1)
	t := &Ticket[T]{
		item:  item,
		rank:  rank,
		queue: n,
	}
	n.insert(t)
	q.length++
	return t, true
}

// Pop removes the next item in round-robin order and returns it with its account;
// ok is false if the Queue is empty.
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

// Remove removes a waiter and reports whether it was still queued.
func (q *Queue[T]) Remove(t *Ticket[T]) bool {
	if t == nil || t.queue == nil {
		return false
	}
	q.remove(t)
	return true
}

// Len returns the number of all waiters.
func (q *Queue[T]) Len() int { return q.length }

// LenOf returns the number of waiters of one account.
func (q *Queue[T]) LenOf(account string) int {
	n, ok := q.accounts[account]
	if !ok {
		return 0
	}
	return n.length
}

// Ahead returns how many items are served before one of an account with a rank that is
// pushed now, if no other follows and all weights are 1: the account's own items of the
// same rank or a lower one, and as many visits of each other account, as far as it has items.
func (q *Queue[T]) Ahead(account string, rank int64) int {
	own := 0
	if n, ok := q.accounts[account]; ok {
		for t := n.head; t != nil && t.rank <= rank; t = t.next {
			own++
		}
	}
	ahead := own
	for name, n := range q.accounts {
		if name != account {
			ahead += min(n.length, own+1)
		}
	}
	return ahead
}

func (q *Queue[T]) queueOf(account string) *accountQueue[T] {
	if n, ok := q.accounts[account]; ok {
		return n
	}
	if q.accounts == nil {
		q.accounts = make(map[string]*accountQueue[T])
	}
	n := &accountQueue[T]{account: account}
	q.accounts[account] = n
	q.linkAccount(n)
	return n
}

// linkAccount inserts the queue at the end of the current round.
func (q *Queue[T]) linkAccount(n *accountQueue[T]) {
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

func (q *Queue[T]) unlinkAccount(n *accountQueue[T]) {
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
	n := t.queue
	n.unlink(t)
	q.length--
	if n.length == 0 {
		q.unlinkAccount(n)
	}
}

// insert adds an item after all that have the same rank or a lower one.
func (n *accountQueue[T]) insert(t *Ticket[T]) {
	t.previous = n.tail
	for t.previous != nil && t.previous.rank > t.rank {
		t.next = t.previous
		t.previous = t.previous.previous
	}
	if t.previous == nil {
		n.head = t
	} else {
		t.previous.next = t
	}
	if t.next == nil {
		n.tail = t
	} else {
		t.next.previous = t
	}
	n.length++
}

func (n *accountQueue[T]) unlink(t *Ticket[T]) {
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
	t.queue = nil
	t.next = nil
	t.previous = nil
	n.length--
}

func orDefault(n, fallback int) int {
	if n <= 0 {
		return fallback
	}
	return n
}
