package admitter

import "container/heap"

// flow is the FIFO queue of one key of a fairQueue.
type flow[T any] struct {
	key    string
	weight float64
	start  float64 // virtual start time of its first item
	seq    uint64  // breaks ties in order of arrival
	items  []item[T]
}

type item[T any] struct {
	value T
	cost  float64
}

// fairQueue is a weighted fair queue. It serves flows in the order of their
// virtual start times, so that each gets a share of the served cost in
// proportion to its weight.
type fairQueue[T any] struct {
	virtualTime float64
	seq         uint64
	flows       map[string]*flow[T]
	idleFinish  map[string]float64 // virtual finish time of flows without items
	active      []*flow[T]
	length      int
}

func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{flows: map[string]*flow[T]{}, idleFinish: map[string]float64{}}
}

func (q *fairQueue[T]) Len() int { return len(q.active) }
func (q *fairQueue[T]) Less(i, j int) bool {
	a, b := q.active[i], q.active[j]
	if a.start != b.start {
		return a.start < b.start
	}
	return a.seq < b.seq
}
func (q *fairQueue[T]) Swap(i, j int) { q.active[i], q.active[j] = q.active[j], q.active[i] }
func (q *fairQueue[T]) Push(x any)    { q.active = append(q.active, x.(*flow[T])) }
func (q *fairQueue[T]) Pop() any {
	n := len(q.active) - 1
	f := q.active[n]
	q.active = q.active[:n]
	return f
}

// push adds an item to the flow of key. The latest weight applies to the whole
// flow.
func (q *fairQueue[T]) push(key string, weight float64, v T, cost float64) {
	q.length++
	f, ok := q.flows[key]
	if !ok {
		q.seq++
		f = &flow[T]{key: key, start: max(q.virtualTime, q.idleFinish[key]), seq: q.seq}
		delete(q.idleFinish, key)
		q.flows[key] = f
		heap.Push(q, f)
	}
	f.weight = max(weight, 1e-6)
	f.items = append(f.items, item[T]{value: v, cost: cost})
}

// peek returns the next item without removing it.
func (q *fairQueue[T]) peek() (T, bool) {
	var zero T
	if len(q.active) == 0 {
		return zero, false
	}
	return q.active[0].items[0].value, true
}

// pop removes the next item and charges its cost to its flow.
func (q *fairQueue[T]) pop() T { return q.removeFirst(1) }

// drop removes the next item without charging its flow.
func (q *fairQueue[T]) drop() { q.removeFirst(0) }

// removeFirst removes the next item and charges share of its cost to its flow.
func (q *fairQueue[T]) removeFirst(share float64) T {
	f := q.active[0]
	it := f.items[0]
	f.items = f.items[1:]
	q.length--
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += share * it.cost / f.weight
	if len(f.items) > 0 {
		heap.Fix(q, 0)
		return it.value
	}
	heap.Pop(q)
	delete(q.flows, f.key)
	q.saveFinish(f.key, f.start)
	return it.value
}

// maxIdleFlows is the number of flows without items above which outdated finish
// times are dropped, to bound memory.
const maxIdleFlows = 1 << 12

// saveFinish keeps the finish time of an idle flow, so that the flow can't gain
// an advantage by running empty.
func (q *fairQueue[T]) saveFinish(key string, finish float64) {
	if len(q.idleFinish) >= maxIdleFlows {
		for k, v := range q.idleFinish {
			if v <= q.virtualTime {
				delete(q.idleFinish, k)
			}
		}
	}
	q.idleFinish[key] = finish
}
