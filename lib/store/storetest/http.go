package storetest

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"savorygap.example/lib/store"
)

// faultForm is the written form of a fault set on the control path.
type faultForm struct {
	Down        bool  `json:"down"`
	DelayMillis int64 `json:"delayMillis"`
	LoseAnswers int   `json:"loseAnswers"`
	LapseLeases bool  `json:"lapseLeases"`
}

// EncodeFaults returns the body that PUT /control/faults takes.
func EncodeFaults(f Faults) ([]byte, error) {
	return json.Marshal(faultForm{Down: f.down, DelayMillis: f.delay.Milliseconds(), LoseAnswers: f.loseAnswers, LapseLeases: f.lapseLeases})
}

// Handler returns the HTTP side: the service's protocol below /v1/ and the
// stand-in's own switches below /control/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv/{key...}", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, message{call: store.CallGet, key: r.PathValue("key")})
	})
	mux.HandleFunc("GET /v1/list", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, message{call: store.CallList, key: r.URL.Query().Get("prefix")})
	})
	mux.HandleFunc("GET /v1/watch/{key...}", s.handleWatch)
	mux.HandleFunc("PUT /v1/kv/{key...}", s.handleSwap)
	mux.HandleFunc("POST /v1/leases", s.handleGrant)
	mux.HandleFunc("PUT /v1/leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, message{call: store.CallRenew, lease: store.LeaseID(r.PathValue("id"))})
	})
	mux.HandleFunc("DELETE /v1/leases/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.answer(w, r, message{call: store.CallRevoke, lease: store.LeaseID(r.PathValue("id"))})
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
	s.answer(w, r, message{
		call: store.CallWatch, key: r.PathValue("key"),
		after: store.Version(after), wait: time.Duration(wait) * time.Millisecond,
	})
}

func (s *Server) handleSwap(w http.ResponseWriter, r *http.Request) {
	var form store.WriteForm
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 2*maxValue)).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	write := store.NewWrite(r.PathValue("key"), form.Value).
		WithExpectedVersion(store.Version(form.Expected)).WithLease(store.LeaseID(form.Lease))
	s.answer(w, r, message{call: store.CallCompareAndSwap, write: write})
}

func (s *Server) handleGrant(w http.ResponseWriter, r *http.Request) {
	var form store.LeaseForm
	if err := json.NewDecoder(r.Body).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.answer(w, r, message{call: store.CallGrant, ttl: time.Duration(form.TTL) * time.Millisecond})
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var form faultForm
	if err := json.NewDecoder(r.Body).Decode(&form); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := NewFaults().WithUnavailable(form.Down).WithDelay(time.Duration(form.DelayMillis) * time.Millisecond).WithDroppedReplies(form.LoseAnswers)
	if form.LapseLeases {
		f = f.WithExpiredLeases()
	}
	s.SetFaults(f)
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, m message) {
	out, ok := s.ask(r.Context(), m)
	if !ok {
		http.Error(w, "stopped", http.StatusServiceUnavailable)
		return
	}
	if out.delay > 0 {
		s.clock.Sleep(out.delay)
	}
	if out.lost {
		panic(http.ErrAbortHandler)
	}
	if out.status != 0 {
		w.Header().Set("X-Version", strconv.FormatUint(uint64(out.entry.Version()), 10))
		http.Error(w, out.text, out.status)
		return
	}
	writeOutcome(w, m.call, out)
}

func writeOutcome(w http.ResponseWriter, call store.Call, out outcome) {
	w.Header().Set("Content-Type", "application/json")
	switch call {
	case store.CallList:
		forms := make([]store.EntryForm, 0, len(out.entries))
		for _, e := range out.entries {
			forms = append(forms, toForm(e))
		}
		_ = json.NewEncoder(w).Encode(forms)
	case store.CallGrant, store.CallRenew, store.CallRevoke:
		_ = json.NewEncoder(w).Encode(store.LeaseForm{ID: string(out.lease)})
	default:
		_ = json.NewEncoder(w).Encode(toForm(out.entry))
	}
}

func toForm(e store.Entry) store.EntryForm {
	return store.EntryForm{Key: e.Key(), Value: e.Value(), Version: uint64(e.Version())}
}
