package demo

// listTimes is how long accepted edits took to be active on every balancer.
type listTimes struct {
	Worst *float64 // seconds; nil before the first edit
}

func (l *listTimes) write(line func(name, format string, args ...any)) {
	if l.Worst == nil {
		line("lists", "no edit was measured")
		return
	}
	line("lists", "an edit is active on every balancer after %.2f s at most", *l.Worst)
}
