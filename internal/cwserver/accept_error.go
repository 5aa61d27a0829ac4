package cwserver

import (
	"errors"
	"slices"
	"syscall"
)

// acceptError is an error of accepting one connection. net/http then accepts the next one, after
// a pause.
type acceptError struct {
	error
}

// permanentErrors mean that the listener can't be used any more.
var permanentErrors = []syscall.Errno{syscall.EBADF, syscall.EINVAL, syscall.ENOTSOCK}

// asAcceptError returns err as an acceptError if the operating system failed to accept one
// connection: for lack of memory, or because of an error of that connection.
func asAcceptError(err error) error {
	var number syscall.Errno
	if !errors.As(err, &number) || slices.Contains(permanentErrors, number) {
		return err
	}
	return acceptError{err}
}

// Unwrap returns the error of the operating system.
func (e acceptError) Unwrap() error { return e.error }

// Timeout implements net.Error.
func (acceptError) Timeout() bool { return false }

// Temporary implements net.Error.
func (acceptError) Temporary() bool { return true }
