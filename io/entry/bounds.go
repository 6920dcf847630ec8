package entry

// MaxHeaderBytes limits a request's header, whatever the configuration says. The check of a
// configuration compares limits with it.
const MaxHeaderBytes = _maxHeaderBytes
