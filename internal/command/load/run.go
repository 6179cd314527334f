package load

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

// Options describes one run.
type Options struct {
	// Addresses are host:port of nodes to ask for addresses first.
	Addresses []string
	Workload  *Workload
	// Rate is the mean number of arrivals per second.
	Rate     float64
	Duration time.Duration
	// Bursts multiply the rate for a while.
	Bursts []Burst
	Seed   uint64
	// LostAnswers is the fraction of non-idempotent requests whose first
	// attempt the caller leaves within LostAfter, to resend it elsewhere.
	LostAnswers float64
	LostAfter   time.Duration
	// VerifyEcho checks that answers come from fakes and match their request.
	VerifyEcho bool
	// Disturbed tells whether the node at an address was kept from answering at
	// some time between two moments; nil means never.
	Disturbed func(address string, from, to time.Time) bool
	// Progress is called about once a second; nil means never.
	Progress func(Progress)
}

// Burst multiplies the rate from At for Length.
type Burst struct {
	At     time.Duration
	Length time.Duration
	Factor float64
}

// Progress is a glance at a run.
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
		return errors.New("load: rate and duration must be above zero")
	}
	return o.Workload.check()
}

const (
	dialTimeout      = 500 * time.Millisecond
	idleConnsPerHost = 256
	progressPeriod   = time.Second
)

// Run sends the load and returns when every request has its outcome. Arrivals
// do not wait for answers.
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

// send starts every job at its time, waits for all and returns their number.
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
