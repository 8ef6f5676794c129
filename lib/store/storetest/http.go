package storetest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"savorygap.example/lib/store"
)

// faultForm is the JSON representation of Faults in PUT /control/faults.
type faultForm struct {
	Unavailable  bool  `json:"down"`
	DelayMillis  int64 `json:"delayMillis"`
	DropReplies  int   `json:"loseAnswers"`
	ExpireLeases bool  `json:"lapseLeases"`
}

// EncodeFaults returns the request body for PUT /control/faults.
func EncodeFaults(f Faults) ([]byte, error) {
	return json.Marshal(faultForm{Unavailable: f.unavailable, DelayMillis: f.delay.Milliseconds(), DropReplies: f.dropReplies, ExpireLeases: f.expireLeases})
}

// Handler returns the HTTP API: the protocol of the service below /v1/, and
// fault injection and call counts below /control/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, r, message{call: store.CallGet, key: r.PathValue("key")})
	})
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, r, message{call: store.CallList, key: r.URL.Query().Get("prefix")})
	})
	mux.HandleFunc("GET /v1/watch/{key...}", s.handleWatch)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handleCompareAndSwap)
	mux.HandleFunc("POST /v1/leases", s.handleGrant)
	mux.HandleFunc("PUT /v1/leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, r, message{call: store.CallRenew, lease: store.LeaseID(r.PathValue("id"))})
	})
	mux.HandleFunc("DELETE /v1/leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.respond(w, r, message{call: store.CallRevoke, lease: store.LeaseID(r.PathValue("id"))})
	})
	mux.HandleFunc("PUT /control/faults", s.handleFaults)
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.CallCounts())
	})
	return mux
}

func (s *Server) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("waitMillis"), 10, 64)
	s.respond(w, r, message{
		call: store.CallWatch, key: r.PathValue("key"),
		after: store.Version(after), wait: time.Duration(wait) * time.Millisecond,
	})
}

func (s *Server) handleCompareAndSwap(w http.ResponseWriter, r *http.Request) {
	var form store.WriteForm
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValueBytes)).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write := store.NewWrite(r.PathValue("key"), form.Value).
		WithExpectedVersion(store.Version(form.Expected)).WithLease(store.LeaseID(form.Lease))
	s.respond(w, r, message{call: store.CallCompareAndSwap, write: write})
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var form store.LeaseForm
	if err := json.NewDecoder(r.Body).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.respond(w, r, message{call: store.CallGrant, ttl: time.Duration(form.TTL) * time.Millisecond})
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var form faultForm
	if err := json.NewDecoder(r.Body).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := NewFaults().WithUnavailable(form.Unavailable).WithDelay(time.Duration(form.DelayMillis) * time.Millisecond).WithDroppedReplies(form.DropReplies)
	if form.ExpireLeases {
		f = f.WithExpiredLeases()
	}
	s.SetFaults(f)
}

func (s *Server) respond(w http.ResponseWriter, r *http.Request, m message) {
	reply, ok := s.send(r.Context(), m)
	if !ok {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	if reply.delay > 0 {
		s.clock.Sleep(reply.delay)
	}
	if reply.dropped {
		panic(http.ErrAbortHandler)
	}
	if reply.status != 0 {
		w.Header().Set("X-Version", strconv.FormatUint(uint64(reply.entry.Version()), 10))
		http.Error(w, reply.text, reply.status)
		return
	}
	writeResult(w, m.call, reply)
}

func writeResult(w http.ResponseWriter, call store.Call, reply result) {
	w.Header().Set("Content-Type", "application/json")
	switch call {
	case store.CallList:
		forms := make([]store.EntryForm, 0, len(reply.entries))
		for _, e := range reply.entries {
			forms = append(forms, toEntryForm(e))
		}
		_ = json.NewEncoder(w).Encode(forms)
	case store.CallGrant, store.CallRenew, store.CallRevoke:
		_ = json.NewEncoder(w).Encode(store.LeaseForm{ID: string(reply.lease)})
	default:
		_ = json.NewEncoder(w).Encode(toEntryForm(reply.entry))
	}
}

func toEntryForm(e store.Entry) store.EntryForm {
	return store.EntryForm{Key: e.Key(), Value: e.Value(), Version: uint64(e.Version())}
}
