package assembler_test

import (
	"bytes"
	"encoding/json"
	"expvar"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/generator"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// hasMessage reports whether a line has the message.
func (l *logBuffer) hasMessage(message string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	quoted, _ := json.Marshal(message)
	return strings.Contains(l.b.String(), `"message":`+string(quoted))
}

// counterValue returns the value of an expvar counter as text. In a name such as
// map.reason, the part after the dot is a key of the map; without it, the text holds all
// keys.
func counterValue(name string) string {
	name, reason, ok := strings.Cut(name, ".")
	v := expvar.Get(name)
	if m, isMap := v.(*expvar.Map); isMap && ok {
		v = m.Get(reason)
	}
	if v == nil {
		return ""
	}
	return v.String()
}

// TestRunbookSigns causes the faults of docs/RUNBOOKS.md and checks that the counters and
// log messages that it names appear.
func TestRunbookSigns(t *testing.T) {
	page, err := os.ReadFile("../../../docs/RUNBOOKS.md")
	qt.Assert(t, err, qt.IsNil)
	tests := []struct {
		section            string
		run                func(f *fleet)
		counters, messages []string
	}{
		{"The store is down, slow or loses answers", func(f *fleet) { f.setPlatformDown(true) },
			[]string{"accessor_failures", "watcher_retry.watch", "reporter_retry", "detector_reason.list"},
			[]string{"VM list not read, the last one stays"}},
		{"The store is down, slow or loses answers", func(f *fleet) {
			old := f.manifest()
			f.publish("b")
			f.waitForGeneration(2, changeBound)
			f.restore(old)
		}, nil, []string{"older configuration refused"}},
		{"Connections go silent", func(f *fleet) { f.Network.BlackholeOpen(func(string, string) bool { return true }) },
			[]string{"messenger_reason.silent", "watcher_retry.silent"}, []string{"peer link silent"}},
		{"Data centres are parted", func(f *fleet) { f.partition([]string{"s1", "s2"}, func(p string) bool { return p[0] == 'n' }) },
			[]string{"messenger_reason.route"}, []string{"peer link refused or failed"}},
		{"A VM, a rack or a data centre is lost", func(f *fleet) {
			f.kill("n1")
			f.partition([]string{"engine1"}, anyHost)
		}, []string{"detector_reason.report"}, []string{"peer link ended", "endpoint does not answer"}},
		{"A daemon serves nothing", func(f *fleet) { f.startVM(f.vm("n5")) },
			[]string{"detector_reason.unlisted"}, []string{"VM list lacks this daemon, it serves nothing until it is listed"}},
		{"A daemon does not link", func(f *fleet) {
			f.FleetKey = "a key that is not the fleet's"
			f.startDaemon("n5")
		}, []string{"messenger_reason.proof"}, []string{"peer link refused or failed"}},
	}
	for _, tt := range tests {
		t.Run(tt.section, func(t *testing.T) {
			_, text, ok := strings.Cut(string(page), "\n### "+tt.section+"\n")
			qt.Assert(t, ok, qt.IsTrue)
			text, _, _ = strings.Cut(text, "\n### ")
			synctest.Test(t, func(t *testing.T) {
				log := new(logBuffer)
				f := newFleetLog(qt.New(t), log)
				f.c.Assert(f.Engine("north", &generator.Generator{ID: "engine1", Incarnation: 1, Versions: []string{"small@v1"}}), qt.IsNil)
				time.Sleep(settleTime)
				before := make(map[string]string)
				for _, name := range tt.counters {
					before[name] = counterValue(name)
				}
				tt.run(f)
				time.Sleep(time.Minute)
				for _, name := range tt.counters {
					f.c.Check(counterValue(name), qt.Not(qt.Equals), before[name], qt.Commentf("%s", name))
					f.c.Check(strings.Contains(text, "`"+name+"`"), qt.IsTrue, qt.Commentf("%s is not in the section", name))
				}
				for _, message := range tt.messages {
					f.c.Check(log.hasMessage(message), qt.IsTrue, qt.Commentf("%s", message))
					f.c.Check(strings.Contains(text, "`\""+message+"\"`"), qt.IsTrue, qt.Commentf("%s is not in the section", message))
				}
				f.heal()
				f.c.Check(f.Close(), qt.IsNil)
			})
		})
	}
}
