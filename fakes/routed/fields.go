package routed

// BrokenFields returns lines of a header whose names are none, by what is wrong with them. Some would
// change where the body ends, or be taken for the line before, if they were read leniently.
func BrokenFields() map[string]string {
	return map[string]string{
		"a blank amid the name":  "Broken Name: x",
		"a blank after the name": "Broken : x",
		"a length with a blank":  "Content-Length : 1",
		"chunks with a blank":    "Transfer-Encoding : chunked",
		"a control byte":         "Bro\x01ken: x",
		"a tab":                  "Bro\tken: x",
		"a tab after the name":   "Broken\t: x",
		"a carriage return":      "Bro\rken: x",
		"NUL":                    "Bro\x00ken: x",
		"DEL":                    "Broken\x7f: x",
		"a byte beyond ASCII":    "Bro\xe9ken: x",
		"a separator":            "Bro(ken): x",
		"no name":                ": x",
		"no colon":               "Broken",
	}
}
