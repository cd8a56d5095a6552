package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/kernel"
)

// Limits of one request.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// Options configures a Server.
type Options struct {
	// Address is host:port; port 0 lets the system choose.
	Address string
	// TokenHash is the hex SHA-256 of the operators' token. If it is empty, only clients
	// on a loopback address are allowed.
	TokenHash string
	// Metrics are written after those of the kernel's components.
	Metrics []kernel.MetricWriter
}

// Server is the component that serves operators.
type Server struct {
	opts     Options
	listener net.Listener
	http     *http.Server
	mux      *http.ServeMux

	mu         sync.Mutex
	checks     []readinessCheck
	isDraining bool
}

type readinessCheck struct {
	name string
	fn   func() error
}

// New creates the component. It listens once Provision is called.
func New(opts Options) *Server {
	return &Server{opts: opts, mux: http.NewServeMux()}
}

// Name returns "admin".
func (s *Server) Name() string { return "admin" }

// AddReadinessCheck adds a check; /readyz reports ready only if all checks return nil.
func (s *Server) AddReadinessCheck(name string, fn func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks = append(s.checks, readinessCheck{name: name, fn: fn})
}

// Handle adds a handler that only operators may use. It must be called before Start.
func (s *Server) Handle(pattern string, h http.Handler) {
	s.mux.Handle(pattern, requireOperator(s.opts.TokenHash, h))
}

// Provision registers the handlers and opens the listener.
func (s *Server) Provision(k *kernel.Kernel) error {
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	s.mux.HandleFunc("GET /readyz", s.serveReady)
	s.Handle("GET /metrics", s.serveMetrics(k))
	s.Handle("GET /dump", http.HandlerFunc(k.ServeDump))
	listener, err := net.Listen("tcp", s.opts.Address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.opts.Address)
	}
	s.listener = listener
	return nil
}

// Addr returns the address that the server listens on. It must be called after Provision.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start starts the worker that serves requests.
func (s *Server) Start(_ context.Context, k *kernel.Kernel) error {
	s.http = &http.Server{
		Handler:           s.mux,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      requestTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	k.Go("admin.serve", func(context.Context) error {
		err := s.http.Serve(s.listener)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return errors.Wrap(err, "serve requests on the admin address")
	})
	return nil
}

// Drain makes /readyz fail, so that the load balancer sends no new requests.
func (s *Server) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isDraining = true
	return nil
}

// Stop closes the listener and waits until running requests have finished.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "shut down the admin server")
}

// serveMetrics writes the metrics of the process and of the daemon.
func (s *Server) serveMetrics(k *kernel.Kernel) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		metrics.WritePrometheus(w, true)
		k.WriteMetrics(w)
		for _, m := range s.opts.Metrics {
			m.WriteMetrics(w)
		}
	})
}

// readiness is the body of /readyz. Failed maps each check that fails to its reason.
type readiness struct {
	IsReady bool              `json:"ready"`
	Failed  map[string]string `json:"failed,omitempty"`
}

func (s *Server) checkReadiness() readiness {
	s.mu.Lock()
	checks, isDraining := s.checks, s.isDraining
	s.mu.Unlock()
	failed := make(map[string]string)
	if isDraining {
		failed["drain"] = "the daemon is stopping"
	}
	for _, c := range checks {
		if err := c.fn(); err != nil {
			failed[c.name] = err.Error()
		}
	}
	return readiness{IsReady: len(failed) == 0, Failed: failed}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := s.checkReadiness()
	w.Header().Set("Content-Type", "application/json")
	if !state.IsReady {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// An error means that the client has closed the connection; nobody reads the response.
	_ = json.NewEncoder(w).Encode(state)
}
