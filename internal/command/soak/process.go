package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is one node's program, over all its lives.
type process struct {
	name    string
	command []string
	environ []string
	log     *os.File

	mu      sync.Mutex
	current *instance
	// restarting is true while one disturbance restarts the process.
	restarting bool
	// crashes tells of ends that nobody asked for.
	crashes []string
}

// instance is one run of a process.
type instance struct {
	cmd           *exec.Cmd
	ended         chan struct{}
	stopRequested bool
}

// start begins a new life.
func (p *process) start() error {
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), p.environ...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// Should the soak itself be killed, its processes end with it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	l := &instance{cmd: cmd, ended: make(chan struct{})}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = l
	go p.watch(l)
	return nil
}

// watch waits for the end of a life and notes one that nobody asked for.
func (p *process) watch(l *instance) {
	err := l.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(l.ended)
	if !l.stopRequested {
		p.crashes = append(p.crashes, fmt.Sprintf("%s (process %d) ended by itself: %v", p.name, l.cmd.Process.Pid, err))
	}
}

// signal sends a signal to the present life.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current == nil {
		return nil
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.current.stopRequested = true
	}
	if err := p.current.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", p.name, err)
	}
	return nil
}

// stop ends the present life and reports whether it ended within the bound. One
// that did not is killed.
func (p *process) stop(s syscall.Signal, bound time.Duration) bool {
	p.mu.Lock()
	l := p.current
	p.mu.Unlock()
	if l == nil {
		return true
	}
	select {
	case <-l.ended:
		return true
	default:
	}
	// A stopped process acts on no signal but SIGKILL.
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(s)
	select {
	case <-l.ended:
		return true
	case <-time.After(bound):
		_ = p.signal(syscall.SIGKILL)
		<-l.ended
		return false
	}
}

// unexpectedExits returns the ends that nobody asked for.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// beginRestart takes the process for a restart, unless another one is under way.
func (p *process) beginRestart() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.restarting {
		return false
	}
	p.restarting = true
	return true
}

func (p *process) endRestart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.restarting = false
}
