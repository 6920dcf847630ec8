package confg

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
)

// _maxListItems bounds the number of items that one list or range expands to.
const _maxListItems = 20_000

// isWord reports whether text consists of letters only, as keys and section kinds
// do.
func isWord(text string) bool {
	for _, r := range text {
		if (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') {
			return false
		}
	}
	return text != ""
}

// isName reports whether text is a valid name of a data centre, a service or a
// workspace: letters, digits, hyphens, underscores, and dots except at either end.
func isName(text string) bool {
	for _, r := range text {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return text != "" && text[0] != '.' && text[len(text)-1] != '.'
}

// splitList splits "a, b-[1-3]" into "a", "b-1", "b-2", "b-3". Numbers with a
// leading zero keep their width: "[08-10]" gives "08", "09", "10".
func splitList(value string) ([]string, error) {
	if strings.TrimSpace(value) == "" {
		return nil, nil
	}
	var items []string
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			return nil, fmt.Errorf("an entry of the list is empty")
		}
		expanded, err := expandRange(part)
		if err != nil {
			return nil, err
		}
		items = append(items, expanded...)
		if len(items) > _maxListItems {
			return nil, fmt.Errorf("the list has more than %d entries", _maxListItems)
		}
	}
	return items, nil
}

// expandRange expands an entry of a list, which may contain one range.
func expandRange(part string) ([]string, error) {
	before, rest, found := strings.Cut(part, "[")
	if !found {
		return []string{part}, nil
	}
	numbers, after, closed := strings.Cut(rest, "]")
	low, high, hasDash := strings.Cut(numbers, "-")
	if !closed || !hasDash {
		return nil, fmt.Errorf("%q is not a range such as [1-6]", part)
	}
	first, err := strconv.ParseUint(low, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("%q starts its range with %q, not a number", part, low)
	}
	last, err := strconv.ParseUint(high, 10, 32)
	if err != nil {
		return nil, fmt.Errorf("%q ends its range with %q, not a number", part, high)
	}
	if last < first || last-first >= _maxListItems {
		return nil, fmt.Errorf("%q runs from %d to %d", part, first, last)
	}
	width := 1
	if strings.HasPrefix(low, "0") {
		width = len(low)
	}
	items := make([]string, 0, last-first+1)
	for n := first; n <= last; n++ {
		items = append(items, fmt.Sprintf("%s%0*d%s", before, width, n, after))
	}
	return items, nil
}

// withPort adds a port to an address unless it has one: "10.0.0.1" and 9000
// give "10.0.0.1:9000".
func withPort(address string, port int) (string, error) {
	if parsed, err := netip.ParseAddrPort(address); err == nil && parsed.Port() != 0 {
		return parsed.String(), nil
	}
	ip, err := netip.ParseAddr(address)
	if err != nil {
		return "", fmt.Errorf("%q is not an IP number", address)
	}
	return netip.AddrPortFrom(ip, uint16(port)).String(), nil
}

// hostAddresses returns the peer and the caller address of an item of Hosts.
// "10.0.0.1" gets both ports from [Ports]; "127.0.0.1:7001/8001" sets both.
func hostAddresses(item string, peerPort, callerPort int) (peer, caller string, err error) {
	address, callerText, hasCallerPort := strings.Cut(item, "/")
	peer, err = withPort(address, peerPort)
	if err != nil {
		return "", "", err
	}
	if hasCallerPort {
		callerPort, err = strconv.Atoi(callerText)
		if err != nil || callerPort < 1 || callerPort > 65535 {
			return "", "", fmt.Errorf("%q ends with %q, not a port", item, callerText)
		}
	}
	parsed, err := netip.ParseAddrPort(peer)
	if err != nil {
		return "", "", fmt.Errorf("reading %q: %w", peer, err)
	}
	return peer, netip.AddrPortFrom(parsed.Addr(), uint16(callerPort)).String(), nil
}

// Nearest returns the candidate closest to word by edit distance, ignoring case
// first, or "" when all are more than two edits away.
func Nearest(word string, candidates []string) string {
	best, bestDistance := "", 3
	for _, candidate := range candidates {
		if strings.EqualFold(word, candidate) {
			return candidate
		}
		if d := editDistance(word, candidate); d < bestDistance {
			best, bestDistance = candidate, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two texts, in bytes.
func editDistance(a, b string) int {
	distances := make([]int, len(b)+1)
	for j := range distances {
		distances[j] = j
	}
	for i := range len(a) {
		diagonal := distances[0]
		distances[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost = 1 + min(diagonal, distances[j], distances[j+1])
			}
			diagonal = distances[j+1]
			distances[j+1] = cost
		}
	}
	return distances[len(b)]
}
