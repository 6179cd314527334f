package soak

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process runs one node's program, across restarts.
type process struct {
	name    string
	command []string
	environ []string
	log     *os.File

	mu      sync.Mutex
	current *instance
	// restarting is true while a fault restarts the process.
	restarting bool
	// crashes describes the exits that the soak did not request.
	crashes []string
}

// instance is one run of the program, from its start to its exit. stopRequested is
// true once the soak has sent it SIGTERM or SIGKILL.
type instance struct {
	cmd           *exec.Cmd
	ended         chan struct{}
	stopRequested bool
}

// start starts a new instance.
func (p *process) start() error {
	cmd := exec.Command(p.command[0], p.command[1:]...)
	cmd.Env = append(os.Environ(), p.environ...)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	// If the soak itself is killed, the kernel kills its processes too.
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

// watch waits for an instance to exit and records an exit that was not requested.
func (p *process) watch(l *instance) {
	err := l.cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	close(l.ended)
	if !l.stopRequested {
		p.crashes = append(p.crashes, fmt.Sprintf("%s (process %d) exited unexpectedly: %v", p.name, l.cmd.Process.Pid, err))
	}
}

// signal sends a signal to the current instance.
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

// stop ends the current instance with a signal and reports whether it exited within
// the timeout. If not, stop kills it.
func (p *process) stop(s syscall.Signal, timeout time.Duration) bool {
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
	// A process paused by SIGSTOP handles no signal but SIGKILL until SIGCONT.
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(s)
	select {
	case <-l.ended:
		return true
	case <-time.After(timeout):
		_ = p.signal(syscall.SIGKILL)
		<-l.ended
		return false
	}
}

// unexpectedExits describes the exits that the soak did not request.
func (p *process) unexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashes
}

// beginRestart reports whether the caller may restart the process; false means that
// another restart is in progress. After true the caller must call endRestart.
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
