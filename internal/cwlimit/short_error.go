package cwlimit

import "strings"

// shortError has a shorter text than the error that it wraps.
type shortError struct {
	text string
	err  error
}

// ShortenError returns an error that wraps err and has at most about maxErrorTextBytes of its
// text. Errors of decoders quote what they can't decode, so the text can be as long as a
// response.
func ShortenError(err error) error {
	if err == nil {
		return nil
	}
	text := err.Error()
	if len(text) <= maxErrorTextBytes {
		return err
	}
	return &shortError{text: ShortenText(text), err: err}
}

// ShortenText returns at most about maxErrorTextBytes of a text that a peer sent.
func ShortenText(text string) string {
	if len(text) <= maxErrorTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxErrorTextBytes], "") + "..."
}

// Error returns the shortened text.
func (e *shortError) Error() string {
	return e.text
}

// Unwrap returns the error with the whole text.
func (e *shortError) Unwrap() error {
	return e.err
}
