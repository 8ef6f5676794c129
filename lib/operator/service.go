// Package operator implements the HTTP API with which operators read and change
// the configuration. Every node serves it. The client is used by the command
// line.
//
// A change is one compare-and-swap of the whole document in the store. The
// document records the operation id of each change. When the response to a
// write is lost, the recorded ids show whether the change was made.
//
// # Usage
//
//	s := operator.NewService(client, clock, onAccepted)
//	doc, err := s.Apply(ctx, change, dryRun)
//	api := operator.NewAPI(s, clock, documentInForce, fleetStatus, logChange)
//	go api.Run(ctx)
//	handler := api.Handler()
//
//	c := operator.NewClient("https://127.0.0.1:7400", httpClient)
//	result, err := c.Apply(ctx, change, expected, dryRun)
package operator

import (
	"context"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"

	"savorygap.example/lib/document"
	"savorygap.example/lib/store"
	"savorygap.example/lib/wire"
)

const (
	maxApplyAttempts = 8
	retryPause       = 200 * time.Millisecond
)

// Service applies changes to the document in the store.
type Service struct {
	client     *store.Client
	clock      clockwork.Clock
	onAccepted func(*document.Document)
}

// NewService returns a service. It calls onAccepted with the document in the
// store after every change, including one that the document already records.
func NewService(client *store.Client, clock clockwork.Clock, onAccepted func(*document.Document)) *Service {
	return &Service{client: client, clock: clock, onAccepted: onAccepted}
}

// Apply makes a change, or only validates it when dryRun is set. It returns
// *document.ConflictError, *document.InvalidError, *wire.TooLargeError,
// *ContentionError or the store's error when the change was not made, and
// *UnknownOutcomeError when it may or may not have been made.
//
// After a lost response, Apply reads the document again and looks for the
// operation id.
func (s *Service) Apply(ctx context.Context, c document.Change, dryRun bool) (*document.Document, error) {
	var lostResponse error
	for range maxApplyAttempts {
		entry, err := s.client.Get(ctx, store.ConfigurationKey)
		if err != nil {
			if lostResponse == nil {
				return nil, err
			}
			if !s.pause(ctx) {
				return nil, &UnknownOutcomeError{id: c.ID(), cause: lostResponse}
			}
			continue
		}
		next, applied, err := s.next(entry, c)
		if err != nil || applied || dryRun {
			return next, err
		}
		err = s.compareAndSwap(ctx, entry, next)
		var conflict *store.ConflictError
		var ambiguous *store.AmbiguousError
		switch {
		case err == nil:
			s.onAccepted(next)
			return next, nil
		case errors.As(err, &ambiguous):
			lostResponse = err
		case !errors.As(err, &conflict):
			return nil, err
		}
	}
	if lostResponse != nil {
		return nil, &UnknownOutcomeError{id: c.ID(), cause: lostResponse}
	}
	return nil, &ContentionError{attempts: maxApplyAttempts}
}

// next applies c to the document in entry. It also reports whether the
// document already records c.
func (s *Service) next(entry store.Entry, c document.Change) (*document.Document, bool, error) {
	current := document.Empty()
	if len(entry.Value()) > 0 {
		decoded, err := wire.DecodeDocument(entry.Value())
		if err != nil {
			return nil, false, err
		}
		current = decoded
	}
	next, err := current.Apply(c)
	if err != nil {
		return nil, false, err
	}
	if next == current {
		s.onAccepted(current)
		return current, true, nil
	}
	return next, false, nil
}

// compareAndSwap replaces entry by next in the store, unless the entry has
// changed since it was read.
func (s *Service) compareAndSwap(ctx context.Context, entry store.Entry, next *document.Document) error {
	value, err := wire.EncodeDocument(next)
	if err != nil {
		return err
	}
	_, err = s.client.CompareAndSwap(ctx, store.NewWrite(store.ConfigurationKey, value).WithExpectedVersion(entry.Version()))
	return err
}

// pause waits before the next read of the store. It returns false when ctx ends.
func (s *Service) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(retryPause):
		return true
	}
}
