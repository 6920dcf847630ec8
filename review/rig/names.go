// Package rig has the stand-ins of the review's scripts: a store, workers, clients and a
// supervisor of entry hosts. All of them listen on loopback addresses. They do what the pages
// allow them, and behave soundly where the pages are silent.
package rig

import (
	_ "embed"
	"encoding/json"
	"fmt"

	"apricotproxy/platform"
)

//go:embed names.json
var _namesText []byte

// names are the names of the pages that platform.Headers and platform.Paths lack.
type names struct {
	Settings string `json:"settings"`
	Era      string `json:"era"`
	Range    string `json:"range"`
	Watch    string `json:"watch"`
	Key      string `json:"key"`
	Config   string `json:"config"`
	Servers  string `json:"servers"`
	Report   string `json:"report"`
}

var _names = mustReadNames()

// Headers are the header names of the pages.
var Headers = platform.Headers()

func mustReadNames() names {
	var n names
	if err := json.Unmarshal(_namesText, &n); err != nil {
		panic(fmt.Sprintf("names.json: %v", err))
	}
	return n
}
