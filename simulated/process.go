package simulated

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	arrowsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	orcav3 "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	"google.golang.org/protobuf/proto"
)

// process is one incarnation of a node, from Start to Crash.
type process struct {
	machine        *machine
	server         *grpc.Server
	flightListener *freezableListener
	nativeListener *freezableListener
	started        time.Time
	stop           context.CancelFunc
	done           sync.WaitGroup
}

// Start starts the node. It listens on the address of its previous incarnation, or else on the given one. A cold node starts at a part
// of its capacity, see MachineModel.
func (n *Node) Start(address string, cold bool) error {
	flightListener, nativeListener, err := n.listen(address)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &process{machine: newMachine(n.model, cold), flightListener: newFreezableListener(flightListener),
		nativeListener: newFreezableListener(nativeListener), started: time.Now(), stop: stop}
	p.server = n.newFlightServer(ctx, p)
	n.mu.Lock()
	n.process = p
	n.sessions = sessionState{transactions: map[string]*transaction{}, bySession: map[string]string{}}
	n.mu.Unlock()
	n.applyFaults(p)
	p.run(func() { _ = p.server.Serve(p.flightListener) }) // Crash ends it
	p.run(func() { n.serveNative(ctx, p) })
	p.run(func() { n.injectPauses(ctx, p) })
	return nil
}

// run runs a function in a goroutine that Crash waits for.
func (p *process) run(f func()) {
	p.done.Add(1)
	go func() {
		defer p.done.Done()
		f()
	}()
}

// listen opens both listeners, and sets Address and NativeAddress to their addresses.
func (n *Node) listen(address string) (flightListener, nativeListener net.Listener, err error) {
	if n.Address != "" {
		address = n.Address
	}
	flightListener, err = net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	n.Address = flightListener.Addr().String()
	nativeAddress := n.NativeAddress
	if nativeAddress == "" {
		nativeAddress = "127.0.0.1:0"
	}
	nativeListener, err = net.Listen("tcp", nativeAddress)
	if err != nil {
		_ = flightListener.Close() // no client has connected yet
		return nil, nil, err
	}
	n.NativeAddress = nativeListener.Addr().String()
	return flightListener, nativeListener, nil
}

// Limits of gRPC messages.
const (
	maxReceivedBytes = 16 << 20
	maxSentBytes     = 64 << 20
)

// newFlightServer returns the node's gRPC server for Flight SQL and health checks. Each call's trailers have a load report.
func (n *Node) newFlightServer(ctx context.Context, p *process) *grpc.Server {
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxReceivedBytes), grpc.MaxSendMsgSize(maxSentBytes),
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			answer, err := h(ctx, req)
			_ = grpc.SetTrailer(ctx, p.report()) // fails only outside of a call
			return answer, err
		}),
		grpc.ChainStreamInterceptor(func(srv any, s grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			err := h(srv, s)
			s.SetTrailer(p.report())
			return err
		}))
	statements := arrowsql.NewFlightServer(&flightServer{node: n, process: p, ctx: ctx})
	flight.RegisterFlightServiceServer(server, &actionServer{FlightServer: statements, node: n, process: p})
	healthpb.RegisterHealthServer(server, health.NewServer())
	return server
}

// Crash ends the process immediately: its connections are closed and its sessions are lost. It does nothing if the node is down.
func (n *Node) Crash() {
	n.mu.Lock()
	p := n.process
	n.process = nil
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	p.flightListener.kill()
	p.nativeListener.kill()
	_ = p.nativeListener.Close() // its accept loop ends either way
	p.server.Stop()
	p.done.Wait()
	n.change(func() { n.sessions = sessionState{} })
}

// report returns an ORCA load report as gRPC trailers (gRFC A51).
func (p *process) report() metadata.MD {
	utilization, inFlight, memory := p.machine.load()
	b, err := proto.Marshal(&orcav3.OrcaLoadReport{CpuUtilization: utilization, Utilization: map[string]float64{"memory": memory},
		NamedMetrics: map[string]float64{"inflight": inFlight}})
	if err != nil {
		return nil
	}
	return metadata.Pairs("endpoint-load-metrics-bin", string(b))
}
