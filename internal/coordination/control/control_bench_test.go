package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/flamingohaven/flamingohaven/internal/state/config"
	"github.com/flamingohaven/flamingohaven/internal/state/ident"
	"github.com/flamingohaven/flamingohaven/internal/state/lease"
)

// benchNode returns a node whose attributes have typical sizes.
func benchNode(i int) *fakeNode {
	node := lease.Node{
		ID: ident.NodeID(fmt.Sprintf("node-%03d", i)), Incarnation: 1_900_000_000_000, Zone: "zone-1",
		CallerAddress: "10.0.0.1:8080", InternalAddress: "10.0.0.1:8081",
	}
	return &fakeNode{Follower: NewFollower(node)}
}

// mustHeartbeat sends one heartbeat, applies the reply and reports whether the
// next heartbeat should follow at once. It panics on errors.
func (n *fakeNode) mustHeartbeat(s *Service) bool {
	sent := time.Now()
	var reply HeartbeatReply
	if err := s.Heartbeat(n.Heartbeat(0, false), &reply); err != nil {
		panic(err)
	}
	resend, err := n.HandleReply(sent, &reply)
	if err != nil {
		panic(err)
	}
	return resend
}

// BenchmarkHeartbeat_Idle measures the leader's time for a heartbeat that changes
// nothing, with 400 nodes, and the bytes that net/rpc sends for it on a
// connection that has been used before.
func BenchmarkHeartbeat_Idle(b *testing.B) {
	service, _ := newLocalService()
	service.Tick()
	nodes := make([]*fakeNode, 400)
	for i := range nodes {
		nodes[i] = benchNode(i)
		nodes[i].mustHeartbeat(service)
	}
	for _, n := range nodes {
		n.mustHeartbeat(service)
	}
	var reply HeartbeatReply
	args := nodes[0].Heartbeat(0, false)
	_ = service.Heartbeat(args, &reply)
	b.ReportAllocs()
	for b.Loop() {
		nodes[0].mustHeartbeat(service)
	}
	b.ReportMetric(repeatedGobBytes(&rpc.Request{ServiceMethod: "Control.Heartbeat", Seq: 1000}, args), "request-B")
	b.ReportMetric(repeatedGobBytes(&rpc.Response{ServiceMethod: "Control.Heartbeat", Seq: 1000}, &reply), "reply-B")
}

// repeatedGobBytes returns the encoded size of values that were sent before on
// the same gob stream, which excludes their type descriptions.
func repeatedGobBytes(values ...any) float64 {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	first := 0
	for range 2 {
		first = b.Len()
		for _, value := range values {
			if err := encoder.Encode(value); err != nil {
				panic(err)
			}
		}
	}
	return float64(b.Len() - first)
}

// BenchmarkApply_InForce measures the time from an ApplyConfig call to its
// acknowledgement, with heartbeating nodes in the same process.
func BenchmarkApply_InForce(b *testing.B) {
	for _, count := range []int{7, 400} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			service, m := newLocalService()
			service.Tick()
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			group.Go(func() { service.Run(ctx) })
			for i := range count {
				n := benchNode(i)
				group.Go(func() {
					sleep(ctx, HeartbeatInterval*time.Duration(i)/time.Duration(count))
					for n.mustHeartbeat(service) || sleep(ctx, HeartbeatInterval) {
						if ctx.Err() != nil {
							return
						}
					}
				})
			}
			time.Sleep(2 * HeartbeatInterval)
			for b.Loop() {
				_, base, _ := m.Config()
				id := config.OperationID(fmt.Sprint(base))
				var reply ApplyConfigReply
				_ = service.ApplyConfig(sampleArgs(id, base, fmt.Sprintf("teams: {north: {shares: %d}}", 1+base)), &reply)
				if !reply.InForce {
					b.Fatalf("not in force: %+v", reply)
				}
			}
			cancel()
			group.Wait()
		})
	}
}

// BenchmarkHeartbeat_RPC measures an idle heartbeat over net/rpc on loopback. The
// processor time is that of both ends together.
func BenchmarkHeartbeat_RPC(b *testing.B) {
	service, _ := newLocalService()
	service.Tick()
	client, err := rpc.Dial("tcp", serveLoopback(b, service))
	if err != nil {
		b.Fatal(err)
	}
	defer client.Close()
	n := benchNode(1)
	n.mustHeartbeat(service)
	n.mustHeartbeat(service)
	before := processorTime()
	for b.Loop() {
		var reply HeartbeatReply
		if err := client.Call(ServiceName+".Heartbeat", n.Heartbeat(0, false), &reply); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime()-before)/float64(b.N), "cpu-ns/op")
}

// serveLoopback serves the calls of a service on a loopback address until the
// benchmark ends.
func serveLoopback(b *testing.B, service *Service) (address string) {
	b.Helper()
	server := rpc.NewServer()
	if err := server.RegisterName(ServiceName, service); err != nil {
		b.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go server.Accept(listener)
	return listener.Addr().String()
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
