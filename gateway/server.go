package gateway

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/structs"
)

// idleConnTimeout is how long a caller's connection may stay open without a request.
const idleConnTimeout = 2 * time.Minute

func (g *Gateway) newServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           g.Handler(),
		ReadHeaderTimeout: g.opts.Limits.HeaderTimeout.Std(),
		IdleTimeout:       idleConnTimeout,
		MaxHeaderBytes:    g.opts.Limits.MaxHeader,
		Protocols:         protocols,
		ErrorLog:          slog.NewLogLogger(g.opts.Log.Handler(), slog.LevelDebug),
	}
}

func (g *Gateway) serve(listener net.Listener) error {
	var err error
	if g.opts.TLS.Cert != "" {
		err = g.server.ServeTLS(listener, g.opts.TLS.Cert, g.opts.TLS.Key)
	} else {
		err = g.server.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve callers")
}

// Drain makes /readyz fail, serves new requests for the grace period, closes the
// listener, and waits until the requests in progress have ended or ctx is done.
func (g *Gateway) Drain(ctx context.Context) error {
	g.isDraining.Store(true)
	if g.opts.DrainGrace > 0 {
		timer := time.NewTimer(g.opts.DrainGrace)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	return errors.Wrap(g.server.Shutdown(ctx), "shut down the callers' server")
}

// Handler returns the handler of the callers' interface. Paths of routes skip the
// ServeMux, which would redirect a path with a double slash.
func (g *Gateway) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, servicesPrefix) {
			g.handle(classServices, (*exchange).handleRoute)(w, r)
			return
		}
		g.mux.ServeHTTP(w, r)
	})
}

func (g *Gateway) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", healthy)
	mux.HandleFunc("GET /readyz", g.ready)
	mux.HandleFunc("POST /v1/programs", g.handle(classPrograms, (*exchange).handleCreateProgram))
	mux.HandleFunc("GET /v1/programs/{id}", g.handle(classPrograms, (*exchange).handleGetProgram))
	mux.HandleFunc("DELETE /v1/programs/{id}", g.handle(classPrograms, (*exchange).handleEndProgram))
	mux.HandleFunc("GET /v1/programs/{id}/history", g.handle(classPrograms, (*exchange).handleHistory))
	mux.HandleFunc("POST /v1/programs/{id}/calls", g.handle(classCalls, (*exchange).handleCall))
	mux.HandleFunc("POST /v1/chat/completions", g.handle(classChat, (*exchange).handleChat))
	mux.HandleFunc("/", g.handle(classOther, (*exchange).handleUnknown))
	return mux
}

func (x *exchange) handleUnknown(context.Context) error {
	return refuse(structs.RefusedNotFound, "no resource has this method and path")
}

func healthy(w http.ResponseWriter, _ *http.Request) { writeStatus(w, http.StatusOK, "ok") }

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case g.isDraining.Load():
		writeStatus(w, http.StatusServiceUnavailable, "draining")
	case g.opts.Configs.Current() == nil:
		writeStatus(w, http.StatusServiceUnavailable, "no configuration")
	default:
		writeStatus(w, http.StatusOK, "ready")
	}
}
