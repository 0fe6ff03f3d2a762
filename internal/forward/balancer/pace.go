package balancer

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

const (
	// maxPaceLog bounds the base-2 logarithm of a pace: paces are from 0.25 to 4.
	maxPaceLog = 2
	// paceHalfLife is the time in which the weight of a report halves. Single reports are
	// noise; what lasts shows in those of some seconds.
	paceHalfLife = 10 * time.Second
	// usualPaceWeight is the weight, in reports, of the assumption that an endpoint is as
	// fast as usual.
	usualPaceWeight = 4
	// minPaceWeight is the weight of reports below which they are neither used nor told to
	// other daemons. At this weight they change a pace by no more than 5 %.
	minPaceWeight = 0.125
	// paceWeightUnit and paceLogUnit are the units of encoded weights and logarithms.
	paceWeightUnit = 1.0 / 8
	paceLogUnit    = 1.0 / 16
	// maxPaceWeightUnits bounds encoded weights: a false one would keep others out until it has
	// decayed. All of 28,000 requests a second at one endpoint have a weight of 400,000.
	maxPaceWeightUnits = 1 << 22
	// notablePaceLog is the logarithm of the pace from which an endpoint counts as slow, and
	// its negative that up to which it counts as fast: a factor of 1.41.
	notablePaceLog = 0.5
)

type (
	// PaceSum is the sum of recent reports of an endpoint's pace, each with the weight that
	// is left of it.
	PaceSum struct {
		// Weight is the sum of the weights; a new report has 1. Logs is that of the base-2
		// logarithms of the paces, by weight.
		Weight, Logs float64
	}

	// Paces holds the sums of endpoints by the key of their instances. It is encoded in 6 to 8
	// bytes for each.
	Paces map[EndpointKey]PaceSum

	// PaceCounts holds the numbers of endpoints that are fast, usual and slow by their reports.
	PaceCounts struct{ Fast, Usual, Slow int }

	// pace is how long work takes at an endpoint, by its reports to this daemon and by those
	// to all others, as of ownAt and heardAt.
	pace struct {
		own, heard     PaceSum
		ownAt, heardAt time.Duration
	}
)

// decayed returns the sum after a time without reports.
func (s PaceSum) decayed(after time.Duration) PaceSum {
	if s.Weight == 0 || after <= 0 {
		return s
	}
	left := math.Exp2(-float64(after) / float64(paceHalfLife))
	return PaceSum{s.Weight * left, s.Logs * left}
}

func (s PaceSum) plus(o PaceSum) PaceSum { return PaceSum{s.Weight + o.Weight, s.Logs + o.Logs} }

// log returns the base-2 logarithm of the pace, 0 if too little was reported.
func (s PaceSum) log() float64 {
	if s.Weight < minPaceWeight {
		return 0
	}
	return boundPaceLog(s.Logs / (s.Weight + usualPaceWeight))
}

func boundPaceLog(log float64) float64 { return min(max(log, -maxPaceLog), maxPaceLog) }

// observe adds a report to this daemon.
func (p *pace) observe(reported float64, now time.Duration) {
	p.own = p.own.decayed(now - p.ownAt).plus(PaceSum{1, boundPaceLog(math.Log2(reported))})
	p.ownAt = now
}

// hear takes the sum that others tell. One of less weight than what is left of the known sum
// lacks reports that were told before, as when an aggregator is new, and is not taken.
func (p *pace) hear(told PaceSum, now time.Duration) {
	if told.Weight >= p.heard.decayed(now-p.heardAt).Weight {
		p.heard, p.heardAt = told, now
	}
}

// known reports whether the endpoint ever reported a pace.
func (p *pace) known() bool { return p.own.Weight > 0 || p.heard.Weight > 0 }

// log returns the base-2 logarithm of the factor.
func (p *pace) log(now time.Duration) float64 {
	return p.own.decayed(now - p.ownAt).plus(p.heard.decayed(now - p.heardAt)).log()
}

// factor returns how long work takes at the endpoint: 1 as usual or if unknown, 2 twice as long.
func (p *pace) factor(now time.Duration) float64 {
	if !p.known() {
		return 1
	}
	return math.Exp2(p.log(now))
}

// Pace returns how long work takes at an endpoint: 1 as usual or if unknown, 2 twice as long.
func (b *Balancer) Pace(h *samphireturn.Host) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.endpoint(h).pace.factor(b.Clock())
}

// CountPaces counts the endpoints that report their pace.
func (b *Balancer) CountPaces() (counts PaceCounts) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for _, e := range b.endpoints {
		if !e.pace.known() {
			continue
		}
		switch log := e.pace.log(now); {
		case log <= -notablePaceLog:
			counts.Fast++
		case log >= notablePaceLog:
			counts.Slow++
		default:
			counts.Usual++
		}
	}
	return counts
}

// LocalPaces returns the recent reports to this daemon.
func (b *Balancer) LocalPaces() Paces {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	var all Paces
	for id, e := range b.endpoints {
		sum := e.pace.own.decayed(now - e.pace.ownAt)
		if sum.Weight < minPaceWeight {
			continue
		}
		if all == nil {
			all = make(Paces)
		}
		all[instanceKey(id, e.started)] = sum
	}
	return all
}

// SetRemotePaces applies the sums of the reports to all other daemons. Those that are not told
// are kept and age.
func (b *Balancer) SetRemotePaces(all Paces) {
	if len(all) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock()
	for id, e := range b.endpoints {
		if told, ok := all[instanceKey(id, e.started)]; ok {
			e.pace.hear(told, now)
		}
	}
}

// Add adds what other daemons told some time ago.
func (p Paces) Add(other Paces, ago time.Duration) {
	for key, sum := range other {
		if sum = sum.decayed(ago); sum.Weight >= minPaceWeight {
			p[key] = p[key].plus(sum)
		}
	}
}

// MarshalBinary implements encoding.BinaryMarshaler. It rounds to paceWeightUnit and
// paceLogUnit.
func (p Paces) MarshalBinary() ([]byte, error) {
	data := make([]byte, 0, len(p)*(4+2*2))
	for key, sum := range p {
		data = binary.BigEndian.AppendUint32(data, uint32(key))
		data = binary.AppendUvarint(data, uint64(math.Round(sum.Weight/paceWeightUnit)))
		data = binary.AppendVarint(data, int64(math.Round(sum.Logs/paceLogUnit)))
	}
	return data, nil
}

// UnmarshalBinary implements encoding.BinaryUnmarshaler. Logarithms are bounded as those of
// own reports are.
func (p *Paces) UnmarshalBinary(data []byte) error {
	*p = make(Paces)
	for len(data) > 0 {
		if len(data) < 4 {
			return errors.New("paces are cut off")
		}
		key := EndpointKey(binary.BigEndian.Uint32(data))
		data = data[4:]
		units, size := binary.Uvarint(data)
		if size <= 0 || units > maxPaceWeightUnits {
			return errors.New("weight of a pace is invalid")
		}
		data = data[size:]
		logs, size := binary.Varint(data)
		if size <= 0 {
			return errors.New("pace is invalid")
		}
		data = data[size:]
		weight := float64(units) * paceWeightUnit
		bound := weight * maxPaceLog
		(*p)[key] = PaceSum{weight, min(max(float64(logs)*paceLogUnit, -bound), bound)}
	}
	return nil
}
