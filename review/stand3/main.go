// Command stand3 plays the cases of this review: it starts daemons with the command of the deploy
// file, and is the store, the servers and the clients itself.
//
//	stand3 CASE FOLDER
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// play is one play of a case.
type play struct {
	*fleet
	// trouble is false if the disruption is left out.
	trouble bool

	mu     sync.Mutex
	record *os.File
	began  time.Time
}

// cases holds the cases by name. Each returns whether its rule was broken.
var cases = map[string]func(p *play) (bool, error){}

// logf adds a line to the record.
func (p *play) logf(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%8.3f %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase plays a case and returns the exit code.
func runCase(name, folder string) int {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	if os.Getenv("KEEP") != "" {
		dir = os.Getenv("KEEP")
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	f, err := newFleet(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		f.stop()
		os.Exit(2)
	}()
	p := &play{fleet: f, trouble: os.Getenv("TROUBLE") != "0", record: record, began: time.Now()}
	broken, err := cases[name](p)
	for _, d := range f.daemons {
		d.mu.Lock()
		died := d.died
		d.mu.Unlock()
		if died > 0 {
			p.logf("%s ended by itself %d times", d.name, died)
			broken = true
		}
	}
	switch {
	case err != nil:
		p.logf("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		p.logf("result: the rule was broken")
		fmt.Println("broken")
		return 1
	}
	p.logf("result: the rule held")
	fmt.Println("held")
	return 0
}
