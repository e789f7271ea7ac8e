package admission

import (
	"cmp"

	"github.com/google/btree"

	"thistlequay/timeunit"
)

// treeDegree is that of the B-trees.
const treeDegree = 16

// requestQueue keeps the requests that wait for a start. Eligible ones stand by category and soft deadline,
// as within a category that alone tells their values apart; those whose start tag is ahead of virtual time,
// which are beyond their tenant's part, stand by start tag. Every step is logarithmic in the requests that
// wait and does not depend on the number of tenants. The queue never answers a request by itself.
type requestQueue struct {
	arrivals     []*Request // of this batch: their budgets are not checked yet
	awaited      []*Request // others wait for their results: those still queued are next
	eligible     []*btree.BTreeG[*Request]
	byStartTag   *btree.BTreeG[*Request]
	virtualTime  float64 // requests with a later start tag wait until nothing else does
	lastSequence uint64
	length       int
	pivot        Request // where a search begins
}

func newRequestQueue(categories int) requestQueue {
	bySoftDeadline := func(a, b *Request) bool {
		return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.sequence, b.sequence)) < 0
	}
	byStartTag := func(a, b *Request) bool {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence)) < 0
	}
	q := requestQueue{byStartTag: btree.NewG(treeDegree, byStartTag)}
	for range categories {
		q.eligible = append(q.eligible, btree.NewG(treeDegree, bySoftDeadline))
	}
	return q
}

// add enqueues a request that has just arrived.
func (q *requestQueue) add(request *Request) {
	q.lastSequence++
	q.length++
	request.sequence = q.lastSequence
	request.eligible = request.startTag <= q.virtualTime
	q.treeOf(request).ReplaceOrInsert(request)
	q.arrivals = append(q.arrivals, request)
}

// remove takes a request out, to start or to finish.
func (q *requestQueue) remove(request *Request) {
	q.length--
	q.treeOf(request).Delete(request)
}

func (q *requestQueue) treeOf(request *Request) *btree.BTreeG[*Request] {
	if request.eligible {
		return q.eligible[request.category.index]
	}
	return q.byStartTag
}

// clearArrivals ends the batch.
func (q *requestQueue) clearArrivals() {
	clear(q.arrivals)
	q.arrivals = q.arrivals[:0]
}

// advance moves virtual time on to the lowest start tag that waits, where no eligible request waits, and
// makes the requests eligible whose start tags it has reached.
func (q *requestQueue) advance() {
	next, found := q.byStartTag.Min()
	if found && q.byStartTag.Len() == q.length {
		q.virtualTime = max(q.virtualTime, next.startTag)
	}
	for found && next.startTag <= q.virtualTime {
		q.byStartTag.DeleteMin()
		next.eligible = true
		q.treeOf(next).ReplaceOrInsert(next)
		next, found = q.byStartTag.Min()
	}
}

// firstFrom is the first request of the tree whose soft deadline is this or later and that passes the test.
func (q *requestQueue) firstFrom(
	tree *btree.BTreeG[*Request], softDeadline timeunit.Ticks, test func(*Request) bool,
) (first *Request) {
	q.pivot.softDeadline = softDeadline
	tree.AscendGreaterOrEqual(&q.pivot, func(request *Request) bool {
		if test(request) {
			first = request
		}
		return first == nil
	})
	return first
}

func anyRequest(*Request) bool { return true }

// hasJoined says that the request passed its budget check in an earlier batch.
func hasJoined(request *Request) bool { return request.heapIndex != notInHeap }

// VirtualTime is the highest start tag that has become eligible (Arrival.StartTag).
func (s *Server) VirtualTime() float64 { return s.queue.virtualTime }
