package granter

// evenPart is the part, as a divisor, of spare work that is lent evenly.
const evenPart = 8

// want is what one daemon wants of an endpoint's budget.
type want struct {
	id string
	// work is the work that it would have under way, unit its largest request.
	work, unit int64
}

// fair returns the part of total for the daemon with the id: the max-min fair
// part of what it wants, in whole requests while work is short, and an equal
// part of what nobody wants.
func fair(wants []want, total int64, id string) int64 {
	level, spare := fill(wants, total)
	if spare > 0 {
		return lent(wants, spare, id)
	}
	return whole(wants, total, level, id)
}

// lent returns what a daemon wants and its part of the spare work: equal parts
// of 1/evenPart of it, so that each may begin at once, and the rest in
// proportion to what is wanted, so that a busy daemon can grow.
func lent(wants []want, spare int64, id string) int64 {
	var total, own int64
	for _, w := range wants {
		total += w.work
		if w.id == id {
			own = w.work
		}
	}
	equal := spare / evenPart
	if total == 0 {
		equal = spare
	}
	part := own + equal/int64(len(wants))
	if total > 0 {
		part += int64(float64(spare-equal) * float64(own) / float64(total))
	}
	return part
}

// fill returns the level up to which wants are met and what is left of total
// once all are.
func fill(wants []want, total int64) (level, spare int64) {
	left, n := total, int64(len(wants))
	met := make([]bool, len(wants))
	for n > 0 {
		level = left / n
		changed := false
		for i, w := range wants {
			if !met[i] && w.work <= level {
				met[i], changed = true, true
				left -= w.work
				n--
			}
		}
		if !changed {
			return level, 0
		}
	}
	return level, left
}

// whole cuts the parts at the level down to whole requests and hands what is
// left over to the first daemons that can use a request more.
func whole(wants []want, total, level int64, id string) int64 {
	parts := make([]int64, len(wants))
	left := total
	for i, w := range wants {
		parts[i] = min(w.work, level)
		if w.unit > 0 && w.work > level {
			parts[i] = level / w.unit * w.unit
		}
		left -= parts[i]
	}
	for i, w := range wants {
		if w.unit > 0 && w.work > parts[i] && left >= w.unit {
			parts[i] += w.unit
			left -= w.unit
		}
	}
	for i, w := range wants {
		if w.id == id {
			return parts[i]
		}
	}
	return 0
}
