package admission

import (
	"cmp"

	"github.com/google/btree"

	"thistlequay/timeunit"
)

// treeDegree is the degree of the B-trees.
const treeDegree = 16

// requestQueue holds the requests that wait to start. Eligible requests are sorted by soft deadline, one tree per
// category, because within a category only the soft deadline decides about their value. Requests whose start tag is
// later than virtual time are beyond their tenant's fair share and wait in flows, which are sorted by start tag. Each
// operation takes time logarithmic in the number of queued requests and independent of the number of tenants. The queue
// never answers a request by itself.
type requestQueue struct {
	arrivals           []*Request                // requests of this batch, whose queueing budgets are not checked yet
	awaited            []*Request                // others wait for their results; those still queued start next
	eligibleByCategory []*btree.BTreeG[*Request] // one tree by soft deadline per category
	byStartTag         *btree.BTreeG[*Request]   // those that are not eligible, by Arrival.StartTag
	flows              flowQueues                // the same requests, in the order in which they become eligible
	virtualTime        float64                   // later start tags wait while any eligible request is queued
	lastSequence       uint64
	length             int
	searchKey          Request // key at which a search of a tree starts
}

func newRequestQueue(categories int) requestQueue {
	bySoftDeadline := func(a, b *Request) bool {
		return cmp.Or(cmp.Compare(a.softDeadline, b.softDeadline), cmp.Compare(a.sequence, b.sequence)) < 0
	}
	byStartTag := func(a, b *Request) bool {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence)) < 0
	}
	q := requestQueue{byStartTag: btree.NewG(treeDegree, byStartTag), flows: newFlowQueues()}
	for range categories {
		q.eligibleByCategory = append(q.eligibleByCategory, btree.NewG(treeDegree, bySoftDeadline))
	}
	return q
}

// add enqueues a request that has just arrived.
func (q *requestQueue) add(request *Request) {
	q.lastSequence++
	q.length++
	request.sequence = q.lastSequence
	if request.startTag <= q.virtualTime && q.flows.of(request) == nil {
		request.beginTurn(q.virtualTime)
	} else {
		q.flows.add(request)
	}
	q.treeOf(request).ReplaceOrInsert(request)
	q.arrivals = append(q.arrivals, request)
}

// remove takes a request out of the queue, because it starts or ends.
func (q *requestQueue) remove(request *Request) {
	q.length--
	q.treeOf(request).Delete(request)
	if !request.isEligible {
		q.flows.remove(request)
	}
}

// treeOf returns the tree that holds the request.
func (q *requestQueue) treeOf(request *Request) *btree.BTreeG[*Request] {
	if request.isEligible {
		return q.eligibleByCategory[request.category.index]
	}
	return q.byStartTag
}

// clearArrivals forgets the arrivals at the end of the batch.
func (q *requestQueue) clearArrivals() {
	clear(q.arrivals)
	q.arrivals = q.arrivals[:0]
}

// advanceVirtualTime moves virtual time to the lowest queued start tag if no eligible request is queued. It then makes
// the requests eligible whose start tags virtual time has reached.
func (q *requestQueue) advanceVirtualTime() {
	flow, found := q.flows.next()
	if found && q.byStartTag.Len() == q.length {
		q.virtualTime = max(q.virtualTime, flow.startTag)
	}
	for found && flow.startTag <= q.virtualTime {
		q.makeEligible(flow.first())
		flow, found = q.flows.next()
	}
}

// makeEligible moves a queued request to the eligible ones.
func (q *requestQueue) makeEligible(request *Request) {
	q.byStartTag.Delete(request)
	request.beginTurn(q.virtualTime)
	q.flows.remove(request)
	q.treeOf(request).ReplaceOrInsert(request)
}

// firstFrom returns the first request of the tree with softDeadline or a later one that passes the test, or nil.
func (q *requestQueue) firstFrom(
	tree *btree.BTreeG[*Request], softDeadline timeunit.Ticks, matches func(*Request) bool,
) (first *Request) {
	q.searchKey.softDeadline = softDeadline
	tree.AscendGreaterOrEqual(&q.searchKey, func(request *Request) bool {
		if matches(request) {
			first = request
		}
		return first == nil
	})
	return first
}

func anyRequest(*Request) bool { return true }

// passedBudgetCheck reports whether the request passed its queueing budget check in an earlier batch.
func passedBudgetCheck(request *Request) bool { return request.heapIndex != notInHeap }

// VirtualTime returns the highest start tag that has become eligible (Arrival.StartTag).
func (s *Server) VirtualTime() float64 { return s.queue.virtualTime }
