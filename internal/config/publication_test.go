package config_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/examples/deployments"
	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

func TestFromDocumentsRefusesIncompleteSets(t *testing.T) {
	pub, err := deployments.Eisbruecke(3).Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(pub.Values())
	require.NoError(t, err)
	require.Equal(t, pub.Values(), c.Publication().Values())
	require.Equal(t, "eisbruecke", c.Fleet())

	docs := pub.Values()
	delete(docs, pub.Services[0].Key)
	_, err = config.FromDocuments(docs)
	require.ErrorContains(t, err, "is missing")
	docs[pub.Services[0].Key] = pub.Services[1].Text
	_, err = config.FromDocuments(docs)
	require.ErrorContains(t, err, "doesn't match its index entry")
	delete(docs, fleet.IndexKey)
	_, err = config.FromDocuments(docs)
	require.ErrorContains(t, err, "there is no document")
}

func TestLookup(t *testing.T) {
	f := deployments.CestaViva(1)
	f.Services[0].Hosts = []string{"catalogue.example"}
	pub, err := f.Print()
	require.NoError(t, err)
	c, err := config.FromDocuments(pub.Values())
	require.NoError(t, err)
	for _, test := range []struct{ name, host, want string }{
		{"", "catalogue.example", "catalogue"},
		{"", "Catalogue.EXAMPLE:7100", "catalogue"},
		{"", "catalogue", "catalogue"},
		{"orders", "catalogue.example", "orders"},
		{"Orders", "catalogue.example", ""},
		{"", "nobody", ""},
		{"", "", ""},
	} {
		got := ""
		if s := c.Lookup(test.name, test.host); s != nil {
			got = s.Name
		}
		require.Equal(t, test.want, got, test)
	}
}
