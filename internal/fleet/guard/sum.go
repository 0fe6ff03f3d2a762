package guard

import (
	"strings"

	"samphireturn"
)

// Counts are not sent instance by instance across data centres, since in a fleet of
// hundreds that would be their number squared. The relays of a data centre send those of
// the others the sum of its daemons, and send their own data centre the sum of all
// others. Sums are merged like the counts of an instance: the greater count applies.
const (
	// sumPrefix begins the name of a sum.
	sumPrefix = "@"
	// otherCentres names the sum of all other data centres.
	otherCentres = sumPrefix
)

// sumName returns the name of a data centre's sum.
func sumName(centre string) string { return sumPrefix + centre }

func isSum(name string) bool { return strings.HasPrefix(name, sumPrefix) }

// raiseSum raises a sum to t and returns the growth of the counts of all other data
// centres.
func (s *sequentialTest) raiseSum(name string, t Total) Total {
	old := s.remoteSum()
	s.instances[name] = s.instances[name].max(t)
	return s.remoteSum().minus(old)
}

// remoteSum returns the counts of all other data centres. A relay knows the sum of each;
// other daemons, and relays that lost their links, know the total sum that a relay sent.
func (s *sequentialTest) remoteSum() Total {
	return addCentreSums(s.instances).max(s.instances[otherCentres])
}

// addCentreSums adds up the sums of single data centres.
func addCentreSums(instances map[string]Total) Total {
	var sum Total
	for name, t := range instances {
		if isSum(name) && name != otherCentres {
			sum = sum.plus(t)
		}
	}
	return sum
}

// instanceCount returns the number of instances that count.
func (s *sequentialTest) instanceCount() int {
	n := s.remoteSum().Daemons
	for name := range s.instances {
		if !isSum(name) {
			n++
		}
	}
	return int(n)
}

// localSum adds up the instances of this data centre. Folded instances are included, so
// that the sum never falls.
func (t *Totals) localSum() Total {
	sum := t.FoldedSum
	for name, n := range t.Instances {
		if !isSum(name) {
			sum = sum.plus(n)
			sum.Daemons++
		}
	}
	return sum
}

// incarnationOf returns the part of an instance name after the VM id. Messages carry
// only this part of the sender's own instance, since the receiver knows the sender.
func incarnationOf(instance string) string { return instance[strings.LastIndexByte(instance, '.')+1:] }

// qualifyNames returns the counts that a daemon sent, with the full names of its
// instances.
func qualifyNames(counts map[string]Total, from string) map[string]Total {
	qualified := make(map[string]Total, len(counts))
	for name, t := range counts {
		if !isSum(name) && !strings.Contains(name, ".") {
			name = samphireturn.InstanceName(from, name)
		}
		qualified[name] = t
	}
	return qualified
}

// countsFor returns the counts that the daemon of an instance sends to a daemon of its
// own data centre if sameCentre is true, or else of another one. A relay also sends its
// own data centre the sum of all others.
func (t *Totals) countsFor(instance, centre string, sameCentre, relay bool) map[string]Total {
	counts := make(map[string]Total)
	if !sameCentre {
		if sum := t.localSum(); sum.Calls > 0 {
			counts[sumName(centre)] = sum
		}
		return counts
	}
	if own, ok := t.Instances[instance]; ok {
		counts[incarnationOf(instance)] = own
	}
	if sum := addCentreSums(t.Instances); relay && sum.Calls > 0 {
		counts[otherCentres] = sum
	}
	return counts
}
