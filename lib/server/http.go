package server

import (
	"encoding/json"
	"errors"
	"net/http"
)

const maxAnnouncementBytes = 16 << 10

// AnnouncementForm is the JSON representation of an announcement.
type AnnouncementForm struct {
	Service     string `json:"service"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	Instance    string `json:"instance"`
	Draining    bool   `json:"draining"`
}

// ToAnnouncementForm converts an announcement to its JSON representation.
func ToAnnouncementForm(a Announcement) AnnouncementForm {
	return AnnouncementForm{
		Service: a.service, Address: a.address, Slots: a.slots,
		Connections: a.connections, Instance: a.instance, Draining: a.draining,
	}
}

// Handler returns the HTTP API for the servers on this host:
//
//	PUT    /v1/servers   registers a server or renews its announcement
//	DELETE /v1/servers   deregisters the server of a service and address
//
// The request body is an AnnouncementForm.
func Handler(r *Registry) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/servers", func(w http.ResponseWriter, q *http.Request) {
		form, ok := decodeAnnouncement(w, q)
		if !ok {
			return
		}
		a, err := NewAnnouncement(form.Service, form.Address, form.Slots, form.Connections, form.Instance)
		if err == nil {
			err = r.Announce(q.Context(), a.WithDraining(form.Draining))
		}
		writeResult(w, err)
	})
	mux.HandleFunc("DELETE /v1/servers", func(w http.ResponseWriter, q *http.Request) {
		form, ok := decodeAnnouncement(w, q)
		if !ok {
			return
		}
		writeResult(w, r.Leave(q.Context(), form.Service, form.Address))
	})
	return mux
}

func decodeAnnouncement(w http.ResponseWriter, q *http.Request) (AnnouncementForm, bool) {
	var form AnnouncementForm
	dec := json.NewDecoder(http.MaxBytesReader(w, q.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&form); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return form, false
	}
	return form, true
}

func writeResult(w http.ResponseWriter, err error) {
	var invalid *AnnouncementError
	switch {
	case err == nil:
		w.WriteHeader(http.StatusNoContent)
	case errors.As(err, &invalid):
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		http.Error(w, "the node is stopping", http.StatusServiceUnavailable)
	}
}
