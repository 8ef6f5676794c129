// Package task provides the building blocks for tasks: goroutines that own
// their state and communicate by messages.
//
// A task is a goroutine with an inbox of one message type. Only that goroutine
// accesses its state, so the state needs no lock.
//
// # Usage
//
//	inbox := task.NewInbox[message](64)
//	go inbox.Run(ctx, func(m message) { ... })
//	ok := inbox.Send(message{...})
//
// Send blocks while the inbox is full and returns false once the task has
// stopped, so that no sender waits for a stopped task. Latest is a channel for
// a value of which only the newest matters; its writer never blocks. Guard and
// Catch keep a panic from ending the process.
package task

import "context"

// Inbox is a queue of messages of type M to one task.
type Inbox[M any] struct {
	messages chan M
	done     chan struct{}
}

// NewInbox returns an inbox that buffers up to capacity messages.
func NewInbox[M any](capacity int) *Inbox[M] {
	return &Inbox[M]{messages: make(chan M, capacity), done: make(chan struct{})}
}

// Send puts m into the inbox and blocks while the inbox is full. It returns
// false when the task has stopped.
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

// TrySend puts m into the inbox without blocking. It returns false when the
// inbox is full or the task has stopped.
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

// Messages returns the channel from which the owning task receives.
func (b *Inbox[M]) Messages() <-chan M { return b.messages }

// Len returns the number of messages in the inbox.
func (b *Inbox[M]) Len() int { return len(b.messages) }

// Done returns a channel that is closed when the task has stopped.
func (b *Inbox[M]) Done() <-chan struct{} { return b.done }

// Close marks the task as stopped. Only the owning task may call it, once.
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

// Latest holds at most one value. A newer value replaces an older one that has
// not been received. It must have a single writer.
type Latest[T any] struct {
	values chan T
}

// NewLatest returns an empty Latest.
func NewLatest[T any]() *Latest[T] {
	return &Latest[T]{values: make(chan T, 1)}
}

// Put stores v and discards a value that has not been received. It never blocks.
func (l *Latest[T]) Put(v T) {
	select {
	case <-l.values:
	default:
	}
	l.values <- v
}

// Values returns the channel from which the reader receives.
func (l *Latest[T]) Values() <-chan T { return l.values }

// Reply is a channel for the single response to the message that carries it.
type Reply[T any] chan T

// NewReply returns a reply with a buffer, so that the responding task does not
// block.
func NewReply[T any]() Reply[T] { return make(Reply[T], 1) }

// Abandon tells the waiting task that there will be no response, unless there was
// one already. Only the responding task may call it, once. A nil reply is ignored.
func (r Reply[T]) Abandon() {
	if r != nil {
		close(r)
	}
}

// Wait returns the response, or false when ctx ends, or when the responding task
// stops or abandons the reply without a response. The channel stopped is the Done
// channel of that task.
func (r Reply[T]) Wait(ctx context.Context, stopped <-chan struct{}) (T, bool) {
	var zero T
	select {
	case v, ok := <-r:
		return v, ok
	case <-ctx.Done():
		return zero, false
	case <-stopped:
		select {
		case v, ok := <-r:
			return v, ok
		default:
			return zero, false
		}
	}
}
