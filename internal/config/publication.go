package config

import (
	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
)

var errNoIndex = eris.Errorf("there is no document %q", fleet.IndexKey)

// Fleet is the name of the deployment.
func (c *Config) Fleet() string {
	if c.Index == nil {
		return ""
	}
	return c.Index.Fleet.Name
}

// Publication gives the documents as they were published.
func (c *Config) Publication() *fleet.Publication {
	pub := &fleet.Publication{Index: fleet.Document{Key: fleet.IndexKey, Text: c.Index.Text}}
	for _, e := range c.Index.Entries {
		if s := c.Services[e.Service]; s != nil {
			pub.Services = append(pub.Services, fleet.Document{Key: e.Key, Text: s.Text})
		}
	}
	return pub
}

// FromDocuments puts documents together as a node does: index holds the names,
// sizes and digests of the others, which docs holds by key.
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
			continue // Assemble says which one is missing.
		}
		s, err := ParseService(e, doc)
		if err != nil {
			return nil, err
		}
		services = append(services, s)
	}
	return Assemble(idx, services)
}
