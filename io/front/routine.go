package front

// Messages of the log lines that a request writes when nothing goes wrong.
const (
	_tryBegins      = "A try begins."
	_firstEvent     = "The first event arrived."
	_streamComplete = "A stream is complete."
	_answered       = "Answered."
)

// IsRoutine reports whether a log line with this message is one that a request writes when nothing
// goes wrong.
func IsRoutine(message string) bool {
	switch message {
	case _tryBegins, _firstEvent, _streamComplete, _answered:
		return true
	}
	return false
}
