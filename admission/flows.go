package admission

import (
	"cmp"
	"container/list"

	"github.com/google/btree"
)

// Turn tells when a queued request becomes eligible. Requests of one flow, for example of one tenant, become eligible
// one after the other in the order of their arrival. No method may call back into the package, and none is called after
// Host.Release of the request.
type Turn interface {
	// Flow identifies the flow of the request.
	Flow() any

	// StartTag returns the virtual time at which the next request of the flow becomes eligible. It may change at any
	// time.
	StartTag() float64

	// Begin records that the request has become eligible at the given virtual time. From then on, StartTag is that of
	// the request after it.
	Begin(virtualTime float64)
}

// flowQueue holds the queued requests of one flow that are not eligible, in the order of their arrival.
type flowQueue struct {
	requests *list.List // of *Request; not empty
	startTag float64    // of the first request, when it was last read
	sequence uint64     // of the first request when startTag was last read
}

// first returns the request that becomes eligible next.
func (f *flowQueue) first() *Request { return f.requests.Front().Value.(*Request) }

// flowQueues orders flows by the start tags of their first requests. The tags change while requests wait: they grow
// with what their tenants use elsewhere and fall when a run costs less than expected. A tag that has grown is read
// again when the flow is first in order, and one that may have fallen when update is called.
type flowQueues struct {
	byTurn     map[any]*flowQueue // by Turn.Flow
	byStartTag *btree.BTreeG[*flowQueue]
}

func newFlowQueues() flowQueues {
	byStartTag := func(a, b *flowQueue) bool {
		return cmp.Or(cmp.Compare(a.startTag, b.startTag), cmp.Compare(a.sequence, b.sequence)) < 0
	}
	return flowQueues{byTurn: map[any]*flowQueue{}, byStartTag: btree.NewG(treeDegree, byStartTag)}
}

// of returns the queue of the request's flow, or nil if no request of the flow is queued and not eligible.
func (f *flowQueues) of(request *Request) *flowQueue {
	if request.turn == nil {
		return nil
	}
	return f.byTurn[request.turn.Flow()]
}

// add appends a request to its flow. A request without a Turn is a flow of its own.
func (f *flowQueues) add(request *Request) {
	if flow := f.of(request); flow != nil {
		request.flow = flow
		request.flowElement = flow.requests.PushBack(request)
		return
	}
	request.flow = &flowQueue{requests: list.New()}
	request.flowElement = request.flow.requests.PushBack(request)
	if request.turn != nil {
		f.byTurn[request.turn.Flow()] = request.flow
	}
	f.insert(request.flow)
}

// remove takes a request out of its flow.
func (f *flowQueues) remove(request *Request) {
	flow := request.flow
	f.byStartTag.Delete(flow)
	flow.requests.Remove(request.flowElement)
	request.flow = nil
	request.flowElement = nil
	if flow.requests.Len() > 0 {
		f.insert(flow)
	} else if request.turn != nil {
		delete(f.byTurn, request.turn.Flow())
	}
}

// insert adds a flow to the order by its current start tag.
func (f *flowQueues) insert(flow *flowQueue) {
	flow.startTag = flow.first().currentStartTag()
	flow.sequence = flow.first().sequence
	f.byStartTag.ReplaceOrInsert(flow)
}

// update reads the start tag of a flow again.
func (f *flowQueues) update(flow *flowQueue) {
	f.byStartTag.Delete(flow)
	f.insert(flow)
}

// next returns the flow with the lowest start tag.
func (f *flowQueues) next() (flow *flowQueue, found bool) {
	flow, found = f.byStartTag.Min()
	for found && flow.first().currentStartTag() > flow.startTag {
		f.update(flow)
		flow, found = f.byStartTag.Min()
	}
	return flow, found
}
