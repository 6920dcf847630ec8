package confg

// mergeDocuments merges the overlay into the base. A key of the overlay replaces
// the same key of the base's section with the same title; other keys and sections
// are added. Sections are in the base's order, followed by those that only the
// overlay has.
func mergeDocuments(base, overlay *document) []*section {
	sections := make([]*section, 0, len(base.Sections)+len(overlay.Sections))
	byTitle := map[string]*section{}
	for _, document := range []*document{base, overlay} {
		for _, s := range document.Sections {
			merged, found := byTitle[s.title()]
			if !found {
				merged = &section{Kind: s.Kind, Name: s.Name, Origin: s.Origin}
				byTitle[s.title()] = merged
				sections = append(sections, merged)
			}
			merged.overrideWith(s.Entries)
		}
	}
	return sections
}

// overrideWith replaces entries with the same key and appends the others.
func (s *section) overrideWith(entries []entry) {
	for _, e := range entries {
		replaced := false
		for i := range s.Entries {
			if s.Entries[i].Key == e.Key {
				s.Entries[i] = e
				replaced = true
			}
		}
		if !replaced {
			s.Entries = append(s.Entries, e)
		}
	}
}
