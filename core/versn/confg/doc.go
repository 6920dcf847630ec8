// Package confg parses and validates a site's configuration, which consists of a
// base that all sites share and an overlay for the site, both in INI format. The
// overlay overrides single keys and adds sections. The result is a core.Config,
// or a list of faults (validation errors). Each fault gives the file, line and column,
// what was expected and the remedy.
//
// The phases, with the data that passes between them:
//
//	text of one file   -> document   (source.go: ini.v1 and an index of lines)
//	base and overlay   -> sections   (merge.go: each key with its origin)
//	sections           -> Site       (build.go, limits.go: values, defaults, checks)
//	several Sites      -> faults     (sites.go: contradictions between sites)
//	one Site           -> listing    (show.go)
//	two Sites          -> changes    (diff.go)
package confg
