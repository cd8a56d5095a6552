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

// Handler serves the HTTP API of the platform and, under /control/, the control methods.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	services := s.Services()
	serveTable(mux, services.Table)
	serveObjects(mux, services.Objects)
	mux.HandleFunc("GET "+httpbacking.PathVMs, func(w http.ResponseWriter, r *http.Request) {
		list, err := services.VMs.VMs(r.Context())
		writeResponse(w, list, err)
	})
	mux.HandleFunc("POST "+httpbacking.PathWeights, func(w http.ResponseWriter, r *http.Request) {
		wait, err := services.Weights.Fetch(r.Context(), r.FormValue("model"), r.FormValue("version"))
		writeResponse(w, httpbacking.FetchResponse{RetryAfter: wait}, err)
	})
	s.serveControl(mux)
	return mux
}

func serveTable(mux *http.ServeMux, t backing.Table) {
	mux.HandleFunc("GET "+httpbacking.PathRow, func(w http.ResponseWriter, r *http.Request) {
		row, err := t.Get(r.Context(), r.FormValue("key"))
		writeResponse(w, row, err)
	})
	mux.HandleFunc("GET "+httpbacking.PathRows, func(w http.ResponseWriter, r *http.Request) {
		rows, err := t.List(r.Context(), r.FormValue("prefix"))
		writeResponse(w, rows, err)
	})
	mux.HandleFunc("POST "+httpbacking.PathCommit, func(w http.ResponseWriter, r *http.Request) {
		var txn backing.Txn
		if !readJSON(w, r, &txn) {
			return
		}
		rows, err := t.Commit(r.Context(), txn)
		writeResponse(w, rows, err)
	})
}

func serveObjects(mux *http.ServeMux, o backing.Objects) {
	mux.HandleFunc("PUT "+httpbacking.PathObject, func(w http.ResponseWriter, r *http.Request) {
		value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeNotApplied(w, http.StatusBadRequest)
			return
		}
		writeResponse(w, struct{}{}, o.Put(r.Context(), r.URL.Query().Get("key"), value))
	})
	mux.HandleFunc("GET "+httpbacking.PathObject, func(w http.ResponseWriter, r *http.Request) {
		value, err := o.Get(r.Context(), r.FormValue("key"))
		if err != nil {
			writeResponse(w, nil, err)
			return
		}
		_, _ = w.Write(value)
	})
	mux.HandleFunc("DELETE "+httpbacking.PathObject, func(w http.ResponseWriter, r *http.Request) {
		writeResponse(w, struct{}{}, o.Delete(r.Context(), r.FormValue("key")))
	})
	mux.HandleFunc("GET "+httpbacking.PathObjects, func(w http.ResponseWriter, r *http.Request) {
		keys, err := o.List(r.Context(), r.FormValue("prefix"))
		writeResponse(w, keys, err)
	})
}

// serveControl serves the control methods, which set faults and change VMs. Their query
// parameters are service, on, d (a duration), n, id and state.
func (s *Server) serveControl(mux *http.ServeMux) {
	control := func(path string, apply func(r *http.Request)) {
		mux.HandleFunc("POST /control/"+path, func(w http.ResponseWriter, r *http.Request) {
			apply(r)
			w.WriteHeader(http.StatusNoContent)
		})
	}
	control("outage", func(r *http.Request) { s.SetOutage(serviceParam(r), r.FormValue("on") == "true") })
	control("hang", func(r *http.Request) { s.SetHang(serviceParam(r), r.FormValue("on") == "true") })
	control("latency", func(r *http.Request) { s.SetLatency(serviceParam(r), durationParam(r)) })
	control("lose", func(r *http.Request) {
		n, _ := strconv.Atoi(r.FormValue("n"))
		s.LoseResponses(serviceParam(r), n)
	})
	control("vm/lag", func(r *http.Request) { s.SetVMLag(durationParam(r)) })
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
		writeResponse(w, s.Counts(serviceParam(r)), nil)
	})
}

func serviceParam(r *http.Request) Service { return Service(r.FormValue("service")) }

func durationParam(r *http.Request) time.Duration {
	d, _ := time.ParseDuration(r.FormValue("d"))
	return d
}

// readJSON decodes the body into value. It reads the body to its end, because net/http
// cancels the request's context on a lost connection only after that.
func readJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		writeNotApplied(w, http.StatusBadRequest)
	}
	return err == nil
}

// writeNotApplied responds with a status and the header that says that the request took
// no effect.
func writeNotApplied(w http.ResponseWriter, status int) {
	w.Header().Set(httpbacking.HeaderNotApplied, "true")
	w.WriteHeader(status)
}

// writeResponse writes the value, or the error in the form that the HTTP client converts
// back. For an unknown outcome it closes the connection without a response.
func writeResponse(w http.ResponseWriter, value any, err error) {
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
		writeNotApplied(w, http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
