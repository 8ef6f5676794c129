// Package operator speaks HTTP with operators: the resource API on every node
// and the client that the command line uses.
//
// A change is one compare-and-swap of the whole document in the store. Its
// operation id, kept in the document, settles a write whose answer was lost:
// the change is found there or it did not happen.
//
// # Usage
//
//	s := operator.NewService(client, clock, accept)
//	doc, err := s.Apply(ctx, change, dryRun)
//	handler := operator.NewAPI(s, view, census).Handler()
//
//	c := operator.NewClient("https://127.0.0.1:7400", httpClient)
//	result, err := c.Apply(ctx, request)
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
	maxRaces    = 8
	settlePause = 200 * time.Millisecond
)

// Service applies changes to the document in the store.
type Service struct {
	client *store.Client
	clock  clockwork.Clock
	accept func(*document.Document)
}

// NewService returns a service; accept is told of every document that the
// store took.
func NewService(client *store.Client, clock clockwork.Clock, accept func(*document.Document)) *Service {
	return &Service{client: client, clock: clock, accept: accept}
}

// Apply makes a change, or only checks it when dryRun is set. It returns
// *document.ConflictError, *document.InvalidError, *wire.TooLargeError, or the
// store's error when the change could not be made; and *UnsettledError when
// the store could not say whether it was made.
func (s *Service) Apply(ctx context.Context, c document.Change, dryRun bool) (*document.Document, error) {
	var lost error
	for range maxRaces {
		entry, err := s.client.Get(ctx, store.ConfigurationKey)
		if err != nil {
			if lost == nil {
				return nil, err
			}
			if !s.pause(ctx) {
				return nil, &UnknownOutcomeError{id: c.ID(), cause: lost}
			}
			continue
		}
		next, done, err := s.next(entry, c)
		if err != nil || done || dryRun {
			return next, err
		}
		err = s.swap(ctx, entry, next)
		var moved *store.MovedError
		var ambiguous *store.AmbiguousError
		switch {
		case err == nil:
			s.accept(next)
			return next, nil
		case errors.As(err, &ambiguous):
			lost = err
		case !errors.As(err, &moved):
			return nil, err
		}
	}
	if lost != nil {
		return nil, &UnknownOutcomeError{id: c.ID(), cause: lost}
	}
	return nil, &ContentionError{races: maxRaces}
}

// next returns the successor under c, and whether c was made already.
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
		s.accept(current)
		return current, true, nil
	}
	return next, false, nil
}

func (s *Service) swap(ctx context.Context, entry store.Entry, next *document.Document) error {
	value, err := wire.EncodeDocument(next)
	if err != nil {
		return err
	}
	_, err = s.client.Swap(ctx, store.NewWrite(store.ConfigurationKey, value).Expecting(entry.Version()))
	return err
}

func (s *Service) pause(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-s.clock.After(settlePause):
		return true
	}
}
