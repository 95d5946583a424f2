// Package standin is a small stand-in for the platform and for backend servers,
// for tests and the demo. A test or cmd/lacewingfork-standin starts it; it owns
// its listeners and all state, which it keeps in memory. It is not part of the
// product: each of its parts guards its state with one lock. When it stops,
// every connection is closed and all state is lost.
package standin

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxHeaderBytes is the bound that backend servers put on headers.
	maxHeaderBytes = 16 << 10
	// headerTimeout ends connections that send no request.
	headerTimeout = 10 * time.Second
)

// Listen opens a listener; the default is TCP on a loopback address.
type Listen func(address string) (net.Listener, error)

// ListenTCP is the Listen of a process.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// StandIn is a running stand-in.
type StandIn struct {
	settings Settings
	listen   Listen
	log      *logService
	registry *registry
	machines *machines
	address  string
	listener *trackedListener
	server   *http.Server
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// Start opens the platform's listener and one for each backend server. The
// caller has to Close the stand-in.
func Start(settings Settings, listen Listen) (*StandIn, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &StandIn{settings: settings, listen: listen, stop: stop}
	s.log = newLogService(settings.Retention, settings.AppendsPerSecond)
	s.registry = newRegistry(settings.listLag())
	s.machines = newMachines(ctx, settings)
	listener, err := listen(settings.Listen)
	if err != nil {
		stop()
		return nil, errors.Wrap(err, "listen")
	}
	s.address = listener.Addr().String()
	s.listener = newTrackedListener(listener, math.MaxInt)
	s.server = newHTTPServer(s.router())
	s.server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	s.serve(s.server, s.listener)
	if err := s.addConfiguredEntries(); err != nil {
		s.Close()
		return nil, err
	}
	s.running.Go(func() { s.machines.sample(ctx) })
	return s, nil
}

func (s *StandIn) addConfiguredEntries() error {
	for _, server := range s.settings.backendServers() {
		opened, err := s.openBackendServer(server)
		if err != nil {
			return err
		}
		s.registry.addInitialServer(opened)
	}
	for _, instance := range s.settings.Instances {
		s.registry.putInstance(instance.instance())
	}
	s.registry.backdate()
	return nil
}

// connKey finds a request's connection in its context.
type connKey struct{}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (s *StandIn) serve(server *http.Server, listener net.Listener) {
	s.running.Go(func() { _ = server.Serve(listener) })
}

// Address is host:port of the platform's API and of the control API.
func (s *StandIn) Address() string { return s.address }

// Close ends all listeners, connections and tasks.
func (s *StandIn) Close() {
	s.stop()
	s.log.close()
	_ = s.server.Close()
	s.machines.close()
	s.running.Wait()
}
