package confg

// mergeDocuments lays the overlay over the base: a key of the overlay replaces
// the base's key in the section of the same title, other keys and sections are
// added. Sections keep the base's order, then the overlay's.
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
			merged.lay(s.Entries)
		}
	}
	return sections
}

func (s *section) lay(entries []entry) {
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
