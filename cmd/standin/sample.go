package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const mebibyte = 1 << 20

// sampleCmd measures the control overhead of running daemons.
type sampleCmd struct {
	Daemons  []string      `arg:"--daemon,separate,required" help:"base URL of a daemon; may be repeated"`
	Platform string        `arg:"--platform,required" help:"base URL of the platform"`
	Time     time.Duration `arg:"--time" default:"10s" help:"time between the two readings"`
	Label    string        `arg:"--label" help:"first column of the line that is printed"`
}

// daemonVars holds the counters that are read from a daemon's /debug/vars.
type daemonVars struct {
	Process struct {
		CPU        float64 `json:"cpu"`
		Goroutines int     `json:"goroutines"`
	} `json:"process"`
	Memory struct {
		HeapAlloc  uint64
		StackInuse uint64
	} `json:"memstats"`
	SentBytes        map[string]float64 `json:"messenger_sent_bytes"`
	SentMessages     map[string]float64 `json:"messenger_sent_messages"`
	ReceivedBytes    map[string]float64 `json:"messenger_received_bytes"`
	ReceivedMessages map[string]float64 `json:"messenger_received_messages"`
}

// counterSums holds the sums of all daemons' counters at one time: CPU time in seconds,
// heap and stack in bytes, bytes and messages sent and received.
type counterSums struct {
	cpu, heap, bytes, messages float64
	// topics holds the bytes sent and received by topic, calls the platform's counts
	// of calls by operation.
	topics map[string]float64
	calls  map[string]float64
}

// run reads the counters twice and prints the means per daemon.
func (c *sampleCmd) run(ctx context.Context) error {
	before, err := c.read(ctx)
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(c.Time):
	}
	after, err := c.read(ctx)
	if err != nil {
		return err
	}
	seconds := c.Time.Seconds()
	daemonSeconds := seconds * float64(len(c.Daemons))
	reads, writes := 0.0, 0.0
	for op, n := range after.calls {
		d := n - before.calls[op]
		switch op {
		case "create", "update", "delete":
			writes += d
		case "waiting":
		default:
			reads += d
		}
	}
	fmt.Printf("%-34s cpu %6.3f %% heap %6.2f MiB sent+received %8.2f KB/s %7.1f messages/s; platform, all daemons: %6.2f reads/s %5.2f writes/s %3.0f watches\n",
		c.Label, 100*(after.cpu-before.cpu)/daemonSeconds, after.heap/float64(len(c.Daemons))/mebibyte,
		(after.bytes-before.bytes)/daemonSeconds/1000, (after.messages-before.messages)/daemonSeconds,
		reads/seconds, writes/seconds, after.calls["waiting"])
	for topic, n := range after.topics {
		if rate := (n - before.topics[topic]) / daemonSeconds; rate > 1 {
			fmt.Printf("    %-20s %9.1f bytes/s a daemon\n", topic, rate)
		}
	}
	return nil
}

// read sums the counters of all daemons and reads the platform's call counts.
func (c *sampleCmd) read(ctx context.Context) (*counterSums, error) {
	sum := &counterSums{topics: make(map[string]float64)}
	for _, url := range c.Daemons {
		var v daemonVars
		if err := fetch(ctx, strings.TrimSuffix(url, "/")+"/debug/vars", &v); err != nil {
			return nil, err
		}
		sum.cpu += v.Process.CPU
		sum.heap += float64(v.Memory.HeapAlloc + v.Memory.StackInuse)
		for _, m := range []map[string]float64{v.SentBytes, v.ReceivedBytes} {
			for topic, n := range m {
				sum.bytes += n
				sum.topics[topic] += n
			}
		}
		for _, m := range []map[string]float64{v.SentMessages, v.ReceivedMessages} {
			for _, n := range m {
				sum.messages += n
			}
		}
	}
	return sum, fetch(ctx, c.Platform+"/v1/calls", &sum.calls)
}

// fetch decodes the JSON at a URL into dst.
func fetch(ctx context.Context, url string, dst any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("read %s: status %d", url, res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(dst)
}
