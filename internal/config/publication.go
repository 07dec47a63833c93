package config

import (
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
)

var errNoIndex = eris.Errorf("there is no document %q", fleet.IndexKey)

// Fleet returns the name of the deployment, or "" if there is no index.
func (c *Config) Fleet() string {
	if c.Index == nil {
		return ""
	}
	return c.Index.Fleet.Name
}

// Publication returns the documents as they were published.
func (c *Config) Publication() *fleet.Publication {
	pub := &fleet.Publication{Index: fleet.Document{Key: fleet.IndexKey, Text: c.Index.Text}}
	for _, e := range c.Index.Entries {
		if s := c.Services[e.Service]; s != nil {
			pub.Services = append(pub.Services, fleet.Document{Key: e.Key, Text: s.Text})
		}
	}
	return pub
}

// FromDocuments builds a Config from docs, which maps keys to documents, in the same
// way as a node does: the index lists the names, sizes and digests of the others.
func FromDocuments(docs map[string][]byte) (*Config, error) {
	text, ok := docs[fleet.IndexKey]
	if !ok {
		return nil, errNoIndex
	}
	idx, err := ParseIndex(text)
	if err != nil {
		return nil, err
	}
	var services []*Service
	for _, e := range idx.Entries {
		doc, ok := docs[e.Key]
		if !ok {
			continue // Assemble reports the missing document.
		}
		s, err := ParseService(e, doc)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return Assemble(idx, services)
}
