// Package wire holds the generated messages and the twirp service of the
// protocol between entry hosts. Regenerate it with `make generate`.
package wire
