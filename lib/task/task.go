// Package task runs goroutines that own their state and talk by messages.
//
// A task is a goroutine with an inbox of one message type. Only that goroutine
// touches the state behind the inbox, so no state needs a lock.
//
// # Usage
//
//	inbox := task.NewInbox[message](64)
//	go inbox.Run(ctx, func(m message) { ... })
//	ok := inbox.Send(message{...})
//
// Send blocks while the inbox is full and returns false once the task has
// stopped, so a sender never waits for a task that is gone. Latest carries a
// value of which only the newest matters; its writer never blocks.
package task

import "context"

// Inbox carries messages of type M to one task.
type Inbox[M any] struct {
	messages chan M
	done     chan struct{}
}

// NewInbox returns an inbox that buffers up to capacity messages.
func NewInbox[M any](capacity int) *Inbox[M] {
	return &Inbox[M]{messages: make(chan M, capacity), done: make(chan struct{})}
}

// Send delivers m, waiting while the inbox is full. It returns false when the
// task has stopped.
func (b *Inbox[M]) Send(m M) bool {
	select {
	case <-b.done:
		return false
	default:
	}
	select {
	case b.messages <- m:
		return true
	case <-b.done:
		return false
	}
}

// TrySend delivers m unless the inbox is full or the task has stopped.
func (b *Inbox[M]) TrySend(m M) bool {
	select {
	case <-b.done:
		return false
	case b.messages <- m:
		return true
	default:
		return false
	}
}

// Messages returns the channel that the owning task reads.
func (b *Inbox[M]) Messages() <-chan M { return b.messages }

// Len returns how many messages wait.
func (b *Inbox[M]) Len() int { return len(b.messages) }

// Done is closed when the task has stopped.
func (b *Inbox[M]) Done() <-chan struct{} { return b.done }

// Close marks the task as stopped. Only the owning task calls it, once.
func (b *Inbox[M]) Close() { close(b.done) }

// Run handles messages until ctx ends, then closes the inbox.
func (b *Inbox[M]) Run(ctx context.Context, handle func(M)) {
	defer b.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-b.messages:
			handle(m)
		}
	}
}

// Latest holds at most one value; a newer value replaces an unread older one.
// It has a single writer.
type Latest[T any] struct {
	values chan T
}

// NewLatest returns an empty Latest.
func NewLatest[T any]() *Latest[T] {
	return &Latest[T]{values: make(chan T, 1)}
}

// Put stores v in place of an unread value. It never blocks.
func (l *Latest[T]) Put(v T) {
	select {
	case <-l.values:
	default:
	}
	l.values <- v
}

// Values returns the channel that the reader receives from.
func (l *Latest[T]) Values() <-chan T { return l.values }

// Reply is a one-shot answer channel carried inside a message.
type Reply[T any] chan T

// NewReply returns a reply that the answering task never blocks on.
func NewReply[T any]() Reply[T] { return make(Reply[T], 1) }

// Wait returns the answer, or false when ctx ends or the answering task stops
// before it answered.
func (r Reply[T]) Wait(ctx context.Context, stopped <-chan struct{}) (T, bool) {
	var zero T
	select {
	case v := <-r:
		return v, true
	case <-ctx.Done():
		return zero, false
	case <-stopped:
		select {
		case v := <-r:
			return v, true
		default:
			return zero, false
		}
	}
}
