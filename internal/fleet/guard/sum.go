package guard

import (
	"strings"

	"samphireturn"
)

// Counts of other data centres are not told instance by instance, which would be
// their number squared at a fleet of hundreds. The relays of a data centre tell those
// of others the sum of its daemons, and their own data centre the sum of all others.
// Sums are merged like the counts of an instance: the greatest stands.
const (
	// sumMark begins the name of a sum.
	sumMark = "@"
	// beyond names the sum of all other data centres.
	beyond = sumMark
)

// sumOf names the sum of a data centre.
func sumOf(centre string) string { return sumMark + centre }

func isSum(name string) bool { return strings.HasPrefix(name, sumMark) }

// raiseSum lifts a sum to t and returns the growth of what is known of other data
// centres.
func (s *state) raiseSum(name string, t Total) Total {
	before := s.foreign()
	s.instances[name] = s.instances[name].most(t)
	return s.foreign().minus(before)
}

// foreign returns the counts of all other data centres. A relay knows each; other
// daemons, and relays that lost their links, know the sum that a relay told.
func (s *state) foreign() Total { return sumForeign(s.instances).most(s.instances[beyond]) }

// sumForeign adds up the sums of single data centres.
func sumForeign(instances map[string]Total) Total {
	var sum Total
	for name, t := range instances {
		if isSum(name) && name != beyond {
			sum = sum.plus(t)
		}
	}
	return sum
}

// daemons returns the number of instances that count.
func (s *state) daemons() int {
	n := s.foreign().Daemons
	for name := range s.instances {
		if !isSum(name) {
			n++
		}
	}
	return int(n)
}

// sumOwn adds up the instances of this data centre, those that are gone included, so
// that the sum never falls.
func (t *Totals) sumOwn() Total {
	sum := t.Gone
	for name, n := range t.Instances {
		if !isSum(name) {
			sum = sum.plus(n)
			sum.Daemons++
		}
	}
	return sum
}

// startOf returns what a daemon calls its own instance in messages: the receiver
// knows who sent them.
func startOf(instance string) string { return instance[strings.LastIndexByte(instance, '.')+1:] }

// named returns what a daemon told with the whole names of its instances.
func named(told map[string]Total, from string) map[string]Total {
	whole := make(map[string]Total, len(told))
	for name, t := range told {
		if !isSum(name) && !strings.Contains(name, ".") {
			name = samphireturn.InstanceName(from, name)
		}
		whole[name] = t
	}
	return whole
}

// told returns the counts that a daemon of this data centre, or else of another, is
// told by the daemon of an instance.
func (t *Totals) told(instance, centre string, near, relay bool) map[string]Total {
	told := make(map[string]Total)
	if !near {
		if sum := t.sumOwn(); sum.Calls > 0 {
			told[sumOf(centre)] = sum
		}
		return told
	}
	if own, ok := t.Instances[instance]; ok {
		told[startOf(instance)] = own
	}
	if sum := sumForeign(t.Instances); relay && sum.Calls > 0 {
		told[beyond] = sum
	}
	return told
}
