package stager

import (
	"math"
	"slices"
	"time"
)

const (
	// slowOver is how many times as long as usual a slow answer takes.
	slowOver = 3.5
	// slowLeast is the least time of a slow answer: below it a few times as long
	// as usual harms no caller.
	slowLeast = 150 * time.Millisecond
	// usualDecay is the part of the usual time that each answer replaces.
	usualDecay = 0.05
	// leastBad is the number of bad answers below which nothing is concluded: some
	// failures come with any endpoint.
	leastBad = 4
	// badScore is how many standard deviations the new release's bad answers must
	// stand above those of the old one.
	badScore = 3.5
	// badGap is the least difference of the rates of bad answers.
	badGap = 0.08
	// priorAsked and priorBad stand for what is known of endpoints before any
	// answer: two in a hundred fail.
	priorAsked, priorBad = 50, 1
)

// Tally counts the answers that one release gave on one route. Counts only grow.
type Tally struct {
	Pool    string `cbor:"1,keyasint"`
	Release string `cbor:"2,keyasint"`
	Route   string `cbor:"3,keyasint"`
	// New is true for the release that is being rolled out.
	New   bool `cbor:"4,keyasint,omitempty"`
	Asked int  `cbor:"5,keyasint"`
	Bad   int  `cbor:"6,keyasint,omitempty"`
}

// same reports whether two tallies count the same thing.
func (t *Tally) same(o *Tally) bool {
	return t.Pool == o.Pool && t.Release == o.Release && t.Route == o.Route && t.New == o.New
}

// Sum returns the sum of two lists of tallies. It may change neither.
func Sum(a, b []Tally) []Tally {
	sum := slices.Clone(a)
	for i := range b {
		at := slices.IndexFunc(sum, func(t Tally) bool { return t.same(&b[i]) })
		if at < 0 {
			sum = append(sum, b[i])
			continue
		}
		sum[at].Asked += b[i].Asked
		sum[at].Bad += b[i].Bad
	}
	return sum
}

// usual learns how long answers of a route take.
type usual struct {
	mean time.Duration
	seen int
}

// learn takes an answer of the old release in.
func (u *usual) learn(took time.Duration) {
	u.seen++
	share := max(usualDecay, 1/float64(u.seen))
	// A slow answer moves the usual time by no more than one usual answer would.
	took = min(took, time.Duration(2*float64(max(u.mean, slowLeast))))
	u.mean += time.Duration(share * float64(took-u.mean))
}

// slow reports whether an answer took far longer than usual.
func (u *usual) slow(took time.Duration) bool {
	return u.seen >= 10 && took > slowLeast && took > time.Duration(slowOver*float64(u.mean))
}

// worse reports whether a release fails clearly more often than the others, over
// all routes or on one.
func worse(tallies []Tally, pool, release string) bool {
	var trial, base Tally
	routes := make(map[string]*[2]Tally)
	for _, t := range tallies {
		if t.Pool != pool || t.Release != release {
			continue
		}
		pair := routes[t.Route]
		if pair == nil {
			pair = new([2]Tally)
			routes[t.Route] = pair
		}
		if t.New {
			trial.Asked += t.Asked
			trial.Bad += t.Bad
			pair[1].Asked += t.Asked
			pair[1].Bad += t.Bad
			continue
		}
		base.Asked += t.Asked
		base.Bad += t.Bad
		pair[0].Asked += t.Asked
		pair[0].Bad += t.Bad
	}
	if exceeds(trial, base) {
		return true
	}
	for _, pair := range routes {
		if exceeds(pair[1], pair[0]) {
			return true
		}
	}
	return false
}

// exceeds compares two rates of bad answers by their difference in standard
// deviations.
func exceeds(trial, base Tally) bool {
	if trial.Bad < leastBad {
		return false
	}
	p := float64(base.Bad+priorBad) / float64(base.Asked+priorAsked)
	n := float64(trial.Asked)
	rate := float64(trial.Bad) / n
	if rate-p < badGap {
		return false
	}
	return (rate-p)*math.Sqrt(n) > badScore*math.Sqrt(p*(1-p))
}
