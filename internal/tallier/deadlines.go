package tallier

// deadlines is a heap of waiting tickets, ordered by deadline.
type deadlines []*Ticket

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].deadline.Before(d[j].deadline) }

func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *deadlines) Push(x any) {
	k := x.(*Ticket)
	k.index = len(*d)
	*d = append(*d, k)
}

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	old := *d
	k := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return k
}
