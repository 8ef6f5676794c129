package task

import (
	"fmt"
	"log"
	"runtime/debug"
)

// PanicError reports a panic that was caught, so that one unexpected value does not
// end the process.
type PanicError struct {
	value any
	stack []byte
}

// Error implements error.
func (e *PanicError) Error() string { return fmt.Sprintf("unexpected error: %v", e.value) }

// Stack returns the stack of the goroutine at the time of the panic.
func (e *PanicError) Stack() string { return string(e.stack) }

// Catch passes a panic of the calling function to report, if there is one. It must
// be deferred directly. If report panics too, only standard error is left to say so.
func Catch(report func(*PanicError)) {
	value := recover()
	if value == nil {
		return
	}
	e := &PanicError{value: value, stack: debug.Stack()}
	defer func() {
		if second := recover(); second != nil {
			log.Printf("%v, and while it was reported: %v\n%s", e, second, e.stack)
		}
	}()
	report(e)
}

// Guard returns a function that handles a message and passes a panic to report.
// The task then goes on with its next message.
func Guard[M any](handle func(M), report func(M, *PanicError)) func(M) {
	return func(m M) {
		defer Catch(func(e *PanicError) { report(m, e) })
		handle(m)
	}
}
