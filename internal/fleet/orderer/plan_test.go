package orderer

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// TestNext checks which engine is ordered to load which version. No order may
// take the last engine from a version in use, take an engine of another model
// that has no engine to spare, or start while an engine is loading.
func TestNext(t *testing.T) {
	cfg := &samphireturn.Config{Models: []samphireturn.Model{
		{Name: "m", Versions: []samphireturn.Version{
			{Name: "v1", State: samphireturn.VersionLive},
			{Name: "v2", State: samphireturn.VersionLive, EnginesPerCentre: 2},
			{Name: "v0", State: samphireturn.VersionWithdrawn},
		}},
		{Name: "n", Versions: []samphireturn.Version{
			{Name: "v1", State: samphireturn.VersionLive},
			{Name: "v2", State: samphireturn.VersionCanary, EnginesPerCentre: 1},
		}},
	}}
	tests := []struct {
		name    string
		engines []engine
		want    string
		problem string
	}{
		{"empty first", []engine{{id: "a", versions: []string{"m@v0"}}, {id: "b"}, {id: "c", versions: []string{"n@v2"}}}, "m@v2 at b", ""},
		{"withdrawn before used", []engine{{id: "a", versions: []string{"m@v1"}}, {id: "b", versions: []string{"m@v1"}}, {id: "c", versions: []string{"m@v0"}}, {id: "d", versions: []string{"n@v2"}}}, "m@v2 at c", ""},
		{"least busy", []engine{{id: "a", versions: []string{"m@v1"}, inFlight: 9}, {id: "b", versions: []string{"m@v1"}, inFlight: 3}, {id: "c", versions: []string{"n@v2"}}}, "m@v2 at b", ""},
		{"last engine of a version in use", []engine{{id: "a", versions: []string{"m@v1"}}, {id: "c", versions: []string{"n@v2"}}}, "", "m@v2: " + problemEngine},
		{"last engine beside a withdrawn version", []engine{{id: "a", versions: []string{"m@v0", "m@v1"}}, {id: "c", versions: []string{"n@v2"}}}, "", "m@v2: " + problemEngine},
		{"another model without a number", []engine{{id: "a", versions: []string{"n@v1"}}, {id: "b", versions: []string{"n@v1"}}, {id: "c", versions: []string{"n@v2"}}}, "", "m@v2: " + problemEngine},
		{"another model above its number", []engine{{id: "a", versions: []string{"n@v2"}}, {id: "b", versions: []string{"n@v2"}}}, "m@v2 at a", ""},
		{"unserved before short", []engine{{id: "a", versions: []string{"m@v2"}}, {id: "b"}}, "n@v2 at b", ""},
		{"loading", []engine{{id: "a", loading: "x@v1"}, {id: "b"}}, "", problemLoading},
		{"backing off", []engine{{id: "a", backingOff: true}, {id: "c", versions: []string{"n@v2"}}}, "", "m@v2: " + problemEngine},
		{"nothing missing", []engine{{id: "a", versions: []string{"m@v2"}}, {id: "b", versions: []string{"m@v2"}}, {id: "c", versions: []string{"n@v2"}}, {id: "d"}}, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			o, ok, problem := newFleet(cfg, tt.engines).next()
			got := ""
			if ok {
				got = o.version + " at " + o.engine.id
			}
			c.Check(got, qt.Equals, tt.want)
			c.Check(problem, qt.Equals, tt.problem)
		})
	}
}
