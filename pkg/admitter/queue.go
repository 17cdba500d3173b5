package admitter

import "container/heap"

// flow is one party of a fair queue: its items wait in order.
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

// fairQueue serves flows in the order of their virtual start times, so that
// each gets a share of the served cost in proportion to its weight.
type fairQueue[T any] struct {
	virtual float64
	seq     uint64
	flows   map[string]*flow[T]
	last    map[string]float64 // virtual finish time of flows that ran empty
	active  []*flow[T]
	length  int
}

func newFairQueue[T any]() *fairQueue[T] {
	return &fairQueue[T]{flows: map[string]*flow[T]{}, last: map[string]float64{}}
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

func (q *fairQueue[T]) push(key string, weight float64, v T, cost float64) {
	q.length++
	f, ok := q.flows[key]
	if !ok {
		q.seq++
		f = &flow[T]{key: key, start: max(q.virtual, q.last[key]), seq: q.seq}
		delete(q.last, key)
		q.flows[key] = f
		heap.Push(q, f)
	}
	f.weight = max(weight, 1e-6)
	f.items = append(f.items, item[T]{value: v, cost: cost})
}

// peek returns the next item without serving it.
func (q *fairQueue[T]) peek() (T, bool) {
	var zero T
	if len(q.active) == 0 {
		return zero, false
	}
	return q.active[0].items[0].value, true
}

// pop serves the next item.
func (q *fairQueue[T]) pop() T { return q.take(1) }

// drop removes the next item without charging its flow.
func (q *fairQueue[T]) drop() { q.take(0) }

func (q *fairQueue[T]) take(share float64) T {
	f := q.active[0]
	it := f.items[0]
	f.items = f.items[1:]
	q.length--
	q.virtual = max(q.virtual, f.start)
	f.start += share * it.cost / f.weight
	if len(f.items) > 0 {
		heap.Fix(q, 0)
		return it.value
	}
	heap.Pop(q)
	delete(q.flows, f.key)
	q.remember(f.key, f.start)
	return it.value
}

// rememberedFlows bounds the memory of flows that ran empty.
const rememberedFlows = 1 << 12

func (q *fairQueue[T]) remember(key string, finish float64) {
	if len(q.last) >= rememberedFlows {
		for k, v := range q.last {
			if v <= q.virtual {
				delete(q.last, k)
			}
		}
	}
	q.last[key] = finish
}
