// Command stand runs the scripts of review/: it starts a store, servers and clients as
// stand-ins and samphireturnd as separate processes, on loopback addresses.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Results of a scenario: the exit codes of run.sh.
const (
	held   = 0
	broken = 1
	failed = 2

	couldNotRun = failed
)

type scenario func(dir string, record *Record, trouble bool) (int, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand SCENARIO RECORD")
		os.Exit(failed)
	}
	run := scenarios[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown scenario")
		os.Exit(failed)
	}
	dir := os.Getenv("KEEP")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(failed)
		}
		defer os.RemoveAll(dir)
	}
	record, err := NewRecord(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	code, err := run(dir, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		record.Line("could not run: %v", err)
		code = failed
	}
	record.Line("result %d", code)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	}
	os.Exit(code)
}
