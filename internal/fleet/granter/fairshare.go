package granter

// evenSpareDivisor is the divisor of the spare work that gives the part granted
// in equal shares.
const evenSpareDivisor = 8

// claim is the part of an endpoint's budget that one daemon requests.
type claim struct {
	id string
	// work is the work that the daemon wants to have in flight, largestRequest
	// the work of its largest request.
	work, largestRequest int64
}

// fairShare returns the share of total for the daemon with the id: its max-min
// fair share of the claims, in whole requests while work is short, and a part
// of the spare work once all claims are met.
func fairShare(claims []claim, total int64, id string) int64 {
	level, spare := waterFill(claims, total)
	if spare > 0 {
		return withSpare(claims, spare, id)
	}
	return wholeRequests(claims, total, level, id)
}

// withSpare returns a daemon's claim plus its part of the spare work: an equal
// part of 1/evenSpareDivisor of it, so that any daemon can start sending at
// once, and a part of the rest in proportion to its claim, so that a busy
// daemon can grow.
func withSpare(claims []claim, spare int64, id string) int64 {
	var total, own int64
	for _, c := range claims {
		total += c.work
		if c.id == id {
			own = c.work
		}
	}
	equal := spare / evenSpareDivisor
	if total == 0 {
		equal = spare
	}
	part := own + equal/int64(len(claims))
	if total > 0 {
		part += int64(float64(spare-equal) * float64(own) / float64(total))
	}
	return part
}

// waterFill returns the level up to which claims are met, and what is left of
// total once all are met.
func waterFill(claims []claim, total int64) (level, spare int64) {
	left, n := total, int64(len(claims))
	met := make([]bool, len(claims))
	for n > 0 {
		level = left / n
		changed := false
		for i, c := range claims {
			if !met[i] && c.work <= level {
				met[i], changed = true, true
				left -= c.work
				n--
			}
		}
		if !changed {
			return level, 0
		}
	}
	return level, left
}

// wholeRequests rounds the shares at the level down to whole requests and gives
// the remainder to the first daemons that can use one more request.
func wholeRequests(claims []claim, total, level int64, id string) int64 {
	parts := make([]int64, len(claims))
	left := total
	for i, c := range claims {
		parts[i] = min(c.work, level)
		if c.largestRequest > 0 && c.work > level {
			parts[i] = level / c.largestRequest * c.largestRequest
		}
		left -= parts[i]
	}
	for i, c := range claims {
		if c.largestRequest > 0 && c.work > parts[i] && left >= c.largestRequest {
			parts[i] += c.largestRequest
			left -= c.largestRequest
		}
	}
	for i, c := range claims {
		if c.id == id {
			return parts[i]
		}
	}
	return 0
}
