package load

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options describes one run.
type Options struct {
	// Addresses are the nodes (host:port) from which the address list is first
	// fetched.
	Addresses []string
	Workload  *Workload
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	// Bursts are the periods with a higher or lower rate.
	Bursts []Burst
	Seed   uint64
	// LostAnswers is the fraction of non-idempotent requests whose first
	// attempt the caller abandons within LostAfter, to resend it to another node.
	LostAnswers float64
	LostAfter   time.Duration
	// VerifyEcho checks that each answer echoes its request, as those of the fake
	// upstreams do.
	VerifyEcho bool
	// Disturbed reports whether an injected fault kept the node at an address
	// from answering at some time between from and to; nil means never.
	Disturbed func(address string, from, to time.Time) bool
	// Progress, if not nil, is called about once a second.
	Progress func(Progress)
}

// Burst multiplies the rate by Factor from At, counted from the start of the
// run, for Length.
type Burst struct {
	At     time.Duration
	Length time.Duration
	Factor float64
}

// Progress is a snapshot of a running load.
type Progress struct {
	Elapsed time.Duration
	Sent    int
	Ended   int
}

func (o *Options) rateAt(at time.Duration) float64 {
	for _, b := range o.Bursts {
		if at >= b.At && at < b.At+b.Length {
			return o.Rate * b.Factor
		}
	}
	return o.Rate
}

func (o *Options) check() error {
	switch {
	case len(o.Addresses) == 0:
		return errors.New("load: no addresses to call")
	case o.Workload == nil:
		return errors.New("load: no workload")
	case o.Rate <= 0 || o.Duration <= 0:
		return fmt.Errorf("load: rate %g and duration %s must be above zero", o.Rate, o.Duration)
	}
	return o.Workload.check()
}

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnsPerHost = 256
	progressPeriod   = time.Second
)

// Run sends the load and returns once every request has its outcome. Arrivals do
// not wait for answers.
func Run(ctx context.Context, o Options) (*Result, error) {
	if err := o.check(); err != nil {
		return nil, err
	}
	jobs, err := plan(&o)
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
	}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	c := &caller{options: &o, client: client, addresses: &addressCache{client: client, seeds: o.Addresses}}
	began := time.Now()
	sent := c.send(ctx, jobs, began)
	if o.Disturbed != nil {
		for i := range c.outcomes {
			c.outcomes[i].markDisturbed(o.Disturbed)
		}
	}
	return &Result{Seed: o.Seed, Rate: o.Rate, Duration: o.Duration, Elapsed: time.Since(began), sent: sent, outcomes: c.outcomes}, nil
}

// send starts every job at its arrival time, waits for all of them to end and
// returns the number of jobs started.
func (c *caller) send(ctx context.Context, jobs []*job, began time.Time) int {
	var running sync.WaitGroup
	stop := c.startProgress(began, jobs)
	defer stop()
	sent := 0
	for _, j := range jobs {
		sleep(ctx, j.at-time.Since(began))
		if ctx.Err() != nil {
			break
		}
		sent++
		running.Go(func() { c.run(ctx, j) })
	}
	running.Wait()
	return sent
}

// startProgress calls Options.Progress every progressPeriod until stop is called.
func (c *caller) startProgress(began time.Time, jobs []*job) (stop func()) {
	if c.options.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				c.options.Progress(c.progress(time.Since(began), jobs))
			}
		}
	}()
	return func() { close(done) }
}

func (c *caller) progress(elapsed time.Duration, jobs []*job) Progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := 0
	for sent < len(jobs) && jobs[sent].at <= elapsed {
		sent++
	}
	return Progress{Elapsed: elapsed, Sent: sent, Ended: len(c.outcomes)}
}
