package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/endivecourse/endivecourse/structs"
)

// request is the body of a frameRequest.
type request struct {
	Method  string             `msgpack:"m"`
	Timeout time.Duration      `msgpack:"t"` // 0 means no deadline
	Body    msgpack.RawMessage `msgpack:"b"`
}

// Request is a request that is passed to a Handler.
type Request struct {
	Method string
	Peer   string // remote address
	body   []byte
}

// Decode decodes the request's body into v. It returns a *structs.Refusal when
// the body does not decode.
func (r *Request) Decode(v any) error {
	if err := msgpack.Unmarshal(r.body, v); err != nil {
		return structs.Refuse(structs.RefusedBadRequest, structs.RunNo, "%s: %v", r.Method, err)
	}
	return nil
}

// Handler serves one request and may send any number of replies. A returned
// *structs.Refusal is passed to the caller unchanged; any other error becomes a
// refusal with run unknown. The context ends at the request's deadline, when
// the caller cancels the request, or when the connection is closed.
type Handler func(ctx context.Context, req *Request, out *ReplyWriter) error

// Server serves the requests of many connections.
type Server struct {
	opts     Options
	traffic  Traffic
	mu       sync.Mutex
	handlers map[string]Handler
	conns    map[*conn]struct{}
	listener net.Listener
	draining bool
	closed   bool
	requests sync.WaitGroup
	running  int // requests in progress
}

// NewServer returns a server without handlers.
func NewServer(opts Options) *Server {
	return &Server{opts: opts, handlers: make(map[string]Handler), conns: make(map[*conn]struct{})}
}

// Handle sets the handler of a method. It must be called before Serve.
func (s *Server) Handle(method string, h Handler) { s.handlers[method] = h }

// HandleUnary sets the handler of a method that sends exactly one reply.
func HandleUnary[In, Out any](s *Server, method string, h func(ctx context.Context, in In) (Out, error)) {
	s.Handle(method, func(ctx context.Context, req *Request, out *ReplyWriter) error {
		var in In
		if err := req.Decode(&in); err != nil {
			return err
		}
		reply, err := h(ctx, in)
		if err != nil {
			return err
		}
		return out.Send(reply)
	})
}

// Serve accepts connections until Close.
func (s *Server) Serve(listener net.Listener) error {
	if s.opts.Guard != nil {
		listener = s.opts.Guard.Listen(listener)
	}
	if s.opts.TLS != nil {
		listener = tls.NewListener(listener, s.opts.TLS)
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The process may be out of file descriptors; its open connections go on.
			if s.opts.Log != nil {
				s.opts.Log.Warn("connection of a peer not accepted", "cause", err.Error())
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.serveConn(nc)
	}
}

func (s *Server) serveConn(nc net.Conn) {
	session := &serverConn{server: s, writers: make(map[uint64]*ReplyWriter)}
	ctx, cancel := context.WithCancel(context.Background())
	session.ctx = ctx
	session.conn = newConn(nc, s.opts.maxFrame(), &s.traffic, session.handle, func() {
		cancel()
		s.removeConn(session.conn)
	})
	session.conn.received = s.opts.Received
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		nc.Close()
		return
	}
	s.conns[session.conn] = struct{}{}
	session.conn.start()
}

func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain refuses new requests with run no and waits until the running ones have
// ended or ctx is done. Connections stay open.
func (s *Server) Drain(ctx context.Context) error {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.requests.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Close closes the listener and, once the replies sent so far are written, all
// connections, and waits until all handlers have returned.
func (s *Server) Close() error {
	s.mu.Lock()
	s.draining, s.closed = true, true
	if s.listener != nil {
		s.listener.Close()
	}
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	var closing sync.WaitGroup
	for _, c := range conns {
		closing.Go(func() {
			c.finish(&ClosedError{})
			c.loops.Wait()
		})
	}
	closing.Wait()
	s.requests.Wait()
	return nil
}

// beginRequest adds a request to those that Drain and Close wait for. It returns a refusal when
// the server is draining or has too many requests.
func (s *Server) beginRequest() *structs.Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return structs.Refuse(structs.RefusedNotReady, structs.RunNo, "the process is stopping")
	}
	if s.opts.MaxRequests > 0 && s.running >= s.opts.MaxRequests {
		return structs.Refuse(structs.RefusedQueueFull, structs.RunNo, "%d requests of peers are in progress", s.running)
	}
	s.running++
	s.requests.Add(1)
	return nil
}

// endRequest ends what beginRequest has begun.
func (s *Server) endRequest() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	s.requests.Done()
}

// maxRequestsOfConn returns how many requests of one connection may be in progress.
func (s *Server) maxRequestsOfConn() int {
	if s.opts.MaxRequests == 0 {
		return maxRequestsPerConn
	}
	return min(maxRequestsPerConn, max(s.opts.MaxRequests/connPartDivisor, 1))
}

// connPartDivisor sets the part of all requests that one connection may have in progress.
const connPartDivisor = 4
