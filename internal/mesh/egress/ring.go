package egress

// ring is a queue that keeps its memory when it becomes empty. The zero value is an empty one.
type ring[T any] struct {
	items       []T
	first, size int
}

func (r *ring[T]) len() int { return r.size }

// at returns the item at a position; 0 is the first one.
func (r *ring[T]) at(i int) T { return r.items[(r.first+i)&(len(r.items)-1)] }

func (r *ring[T]) front() T { return r.items[r.first] }

// push adds an item at the end.
func (r *ring[T]) push(item T) {
	if r.size == len(r.items) {
		grown := make([]T, max(2*len(r.items), 4))
		for i := range r.size {
			grown[i] = r.at(i)
		}
		r.items, r.first = grown, 0
	}
	r.items[(r.first+r.size)&(len(r.items)-1)] = item
	r.size++
}

// pop removes the first item.
func (r *ring[T]) pop() T {
	var none T
	item := r.items[r.first]
	r.items[r.first] = none
	r.first = (r.first + 1) & (len(r.items) - 1)
	r.size--
	return item
}

// rotate moves the first item to the end.
func (r *ring[T]) rotate() { r.push(r.pop()) }

// truncate removes the items from position n on.
func (r *ring[T]) truncate(n int) {
	var none T
	for r.size > n {
		r.size--
		r.items[(r.first+r.size)&(len(r.items)-1)] = none
	}
}

// remove removes the items for which drop returns true. It calls drop once for each.
func (r *ring[T]) remove(drop func(T) bool) {
	for range r.size {
		if item := r.pop(); !drop(item) {
			r.push(item)
		}
	}
}
