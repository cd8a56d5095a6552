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

// Bounds of one request.
const (
	headerTimeout  = 5 * time.Second
	requestTimeout = 30 * time.Second
	maxHeaderBytes = 16 << 10
)

// Options configures a Server.
type Options struct {
	// Address is host:port; port 0 lets the system choose.
	Address string
	// TokenHash is the hex SHA-256 of the operators' token. Empty allows
	// loopback peers only.
	TokenHash string
	// Metrics are written beside those of the kernel's components.
	Metrics []kernel.MetricWriter
}

// Server is the component that serves operators.
type Server struct {
	opts     Options
	listener net.Listener
	http     *http.Server
	mux      *http.ServeMux

	mu       sync.Mutex
	checks   []check
	draining bool
}

type check struct {
	name string
	fn   func() error
}

// New makes the component.
func New(opts Options) *Server {
	return &Server{opts: opts, mux: http.NewServeMux()}
}

// Name returns "admin".
func (s *Server) Name() string { return "admin" }

// AddReadinessCheck adds a check that /readyz needs to pass.
func (s *Server) AddReadinessCheck(name string, fn func() error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checks = append(s.checks, check{name: name, fn: fn})
}

// Handle adds a handler for operators. It is called before Start.
func (s *Server) Handle(pattern string, h http.Handler) {
	s.mux.Handle(pattern, guard(s.opts.TokenHash, h))
}

// Provision sets the handlers and opens the address.
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

// Addr returns the address that the server listens on, once provisioned.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start starts the duty.
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
		return errors.Wrap(err, "serve admin address")
	})
	return nil
}

// Drain makes /readyz fail, so that the balancer sends nothing new.
func (s *Server) Drain(context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	return nil
}

// Stop lets running requests end and closes the address.
func (s *Server) Stop(ctx context.Context) error {
	return errors.Wrap(s.http.Shutdown(ctx), "close admin address")
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

// readiness is the body of /readyz: the checks that fail, with their reasons.
type readiness struct {
	Ready  bool              `json:"ready"`
	Failed map[string]string `json:"failed,omitempty"`
}

func (s *Server) ready() readiness {
	s.mu.Lock()
	checks, draining := s.checks, s.draining
	s.mu.Unlock()
	failed := make(map[string]string)
	if draining {
		failed["drain"] = "the daemon is stopping"
	}
	for _, c := range checks {
		if err := c.fn(); err != nil {
			failed[c.name] = err.Error()
		}
	}
	return readiness{Ready: len(failed) == 0, Failed: failed}
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	state := s.ready()
	w.Header().Set("Content-Type", "application/json")
	if !state.Ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	// A peer that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(state)
}
