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

// sampleCmd measures what running daemons spend on control.
type sampleCmd struct {
	Daemons  []string      `arg:"--daemon,separate,required" help:"base URL of a daemon; may be repeated"`
	Platform string        `arg:"--platform,required" help:"base URL of the platform"`
	Time     time.Duration `arg:"--time" default:"10s" help:"time between the two readings"`
	Label    string        `arg:"--label" help:"first column of the line that is printed"`
}

// vars is the part of a daemon's counters that is read.
type vars struct {
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

// reading is the sum over all daemons at one time.
type reading struct {
	cpu, heap, bytes, messages float64
	topics                     map[string]float64
	calls                      map[string]float64
}

// run reads twice and prints the means of one daemon.
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
	per := seconds * float64(len(c.Daemons))
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
		c.Label, 100*(after.cpu-before.cpu)/per, after.heap/float64(len(c.Daemons))/mebibyte,
		(after.bytes-before.bytes)/per/1000, (after.messages-before.messages)/per,
		reads/seconds, writes/seconds, after.calls["waiting"])
	for topic, n := range after.topics {
		if rate := (n - before.topics[topic]) / per; rate > 1 {
			fmt.Printf("    %-20s %9.1f bytes/s a daemon\n", topic, rate)
		}
	}
	return nil
}

// read sums the counters of all daemons and takes the platform's counts.
func (c *sampleCmd) read(ctx context.Context) (*reading, error) {
	sum := &reading{topics: make(map[string]float64)}
	for _, url := range c.Daemons {
		var v vars
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

// fetch reads JSON from a URL.
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
