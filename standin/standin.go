// Package standin implements a small stand-in for the platform and for backend
// servers, for tests and the demo. A test or cmd/lacewingfork-standin starts it.
// It owns its listeners and keeps all state in memory. It is not part of the
// product; each of its parts guards its state with one lock. When it stops, every
// connection is closed and all state is lost.
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
	// maxHeaderBytes limits the headers of a request.
	maxHeaderBytes = 16 << 10
	// headerTimeout is the time after which a connection without complete
	// request headers is closed.
	headerTimeout = 10 * time.Second
)

// Listen opens a listener on an address of the form host:port.
type Listen func(address string) (net.Listener, error)

// ListenTCP opens a TCP listener. It has the signature of Listen.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// StandIn is a running stand-in. It is safe for concurrent use.
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

// Start opens the platform's listener and one for each backend server, and
// serves them. The caller must call Close.
func Start(settings Settings, listen Listen) (*StandIn, error) {
	ctx, stop := context.WithCancel(context.Background())
	s := &StandIn{settings: settings, listen: listen, stop: stop}
	s.log = newLogService(settings.Retention, settings.AppendsPerSecond)
	s.registry = newRegistry(settings.listLag())
	s.machines = newMachines(ctx, settings)
	listener, err := listen(settings.Listen)
	if err != nil {
		stop()
		return nil, errors.Wrap(err, "listen for the platform API")
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

// addConfiguredEntries starts the configured backend servers and puts them and
// the configured instances on the list.
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

// connKey is the context key of a request's connection.
type connKey struct{}

func newHTTPServer(handler http.Handler) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}

func (s *StandIn) serve(server *http.Server, listener net.Listener) {
	s.running.Go(func() { _ = server.Serve(listener) })
}

// Address returns the host:port of the platform's API and of the control API.
func (s *StandIn) Address() string { return s.address }

// Close closes all listeners and connections and ends all simulated work.
func (s *StandIn) Close() {
	s.stop()
	s.log.close()
	_ = s.server.Close()
	s.machines.close()
	s.running.Wait()
}
