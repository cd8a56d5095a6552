package backing

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/backing"
	"github.com/endivecourse/endivecourse/backing/httpbacking"
	"github.com/endivecourse/endivecourse/structs"
)

const maxBodyBytes = 64 << 20

// Handler serves the platform's HTTP interface and, under /control/, the
// control methods.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	services := s.Services()
	serveTable(mux, services.Table)
	serveObjects(mux, services.Objects)
	mux.HandleFunc("GET "+httpbacking.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		list, err := services.VMs.VMs(r.Context())
		reply(w, list, err)
	})
	mux.HandleFunc("POST "+httpbacking.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		wait, err := services.Weights.Fetch(r.Context(), r.FormValue("model"), r.FormValue("version"))
		reply(w, httpbacking.FetchResponse{RetryAfter: wait}, err)
	})
	s.serveControl(mux)
	return mux
}

func serveTable(mux *http.ServeMux, t backing.Table) {
	mux.HandleFunc("GET "+httpbacking.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.FormValue("key"))
		reply(w, row, err)
	})
	mux.HandleFunc("GET "+httpbacking.PathRows, func(w http.ResponseWriter, r *http.Request) {
		rows, err := t.List(r.Context(), r.FormValue("prefix"))
		reply(w, rows, err)
	})
	mux.HandleFunc("POST "+httpbacking.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var txn backing.Txn
		if !readJSON(w, r, &txn) {
			return
		}
		rows, err := t.Commit(r.Context(), txn)
		reply(w, rows, err)
	})
}

func serveObjects(mux *http.ServeMux, o backing.Objects) {
	mux.HandleFunc("PUT "+httpbacking.PathObject, func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			refuse(w, http.StatusBadRequest)
			return
		}
		reply(w, struct{}{}, o.Put(r.Context(), r.URL.Query().Get("key"), value))
	})
	mux.HandleFunc("GET "+httpbacking.PathObject, func(w http.ResponseWriter, r *http.Request) {
		value, err := o.Get(r.Context(), r.FormValue("key"))
		if err != nil {
			reply(w, nil, err)
			return
		}
		_, _ = w.Write(value)
	})
	mux.HandleFunc("DELETE "+httpbacking.PathObject, func(w http.ResponseWriter, r *http.Request) {
		reply(w, struct{}{}, o.Delete(r.Context(), r.FormValue("key")))
	})
	mux.HandleFunc("GET "+httpbacking.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		keys, err := o.List(r.Context(), r.FormValue("prefix"))
		reply(w, keys, err)
	})
}

// serveControl serves the control methods. Query parameters: service, on, d
// (a duration), n, id, state.
func (s *Server) serveControl(mux *http.ServeMux) {
	control := func(path string, act func(r *http.Request)) {
		mux.HandleFunc("POST /control/"+path, func(w http.ResponseWriter, r *http.Request) {
			act(r)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	control("outage", func(r *http.Request) { s.SetOutage(service(r), r.FormValue("on") == "true") })
	control("hang", func(r *http.Request) { s.SetHang(service(r), r.FormValue("on") == "true") })
	control("latency", func(r *http.Request) { s.SetLatency(service(r), duration(r)) })
	control("lose", func(r *http.Request) {
		n, _ := strconv.Atoi(r.FormValue("n"))
		s.LoseResponses(service(r), n)
	})
	control("vm/lag", func(r *http.Request) { s.SetVMLag(duration(r)) })
	control("vm/remove", func(r *http.Request) { s.RemoveVM(structs.VMID(r.FormValue("id"))) })
	control("vm/state", func(r *http.Request) {
		s.SetVMState(structs.VMID(r.FormValue("id")), backing.VMState(r.FormValue("state")))
	})
	mux.HandleFunc("POST /control/vm/set", func(w http.ResponseWriter, r *http.Request) {
		var vm backing.VM
		if !readJSON(w, r, &vm) {
			return
		}
		s.SetVM(vm)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, r *http.Request) {
		reply(w, s.Counts(service(r)), nil)
	})
}

func service(r *http.Request) Service { return Service(r.FormValue("service")) }

func duration(r *http.Request) time.Duration {
	d, _ := time.ParseDuration(r.FormValue("d"))
	return d
}

// readJSON reads the body to its end: only then does the request's context
// follow the connection.
func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, into)
	}
	if err != nil {
		refuse(w, http.StatusBadRequest)
	}
	return err == nil
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set(httpbacking.HeaderNotApplied, "true")
	w.WriteHeader(status)
}

// reply writes the value, or the error in the form that the HTTP driver maps
// back. A lost answer cuts the connection.
func reply(w http.ResponseWriter, value any, err error) {
	var (
		conflict *backing.ConflictError
		missing  *backing.NotFoundError
		unknown  *backing.UnknownOutcomeError
	)
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, value)
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, httpbacking.ConflictResponse{Found: conflict.Found})
	case errors.As(err, &missing):
		w.WriteHeader(http.StatusNotFound)
	case errors.As(err, &unknown):
		panic(http.ErrAbortHandler)
	default:
		refuse(w, http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
