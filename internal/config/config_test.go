package config_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/config"
)

func publication(t testing.TB) *fleet.Publication {
	f := fleet.Fleet{
		Name: "test", Revision: 3, Teams: []fleet.Team{{Name: "team"}}, Zones: []fleet.Zone{{Name: "z", Region: "r"}},
		Services: []fleet.Service{{
			Name: "s", Team: "team", Timeout: time.Second, Hosts: []string{"s.example"},
			Routes:  []fleet.Route{{Name: "read", Path: "/*", Idempotent: true}},
			Targets: []fleet.Target{{VM: "vm1", Zone: "z", Slots: 2}},
		}},
	}
	pub, err := f.Print()
	require.NoError(t, err)
	return pub
}

func assembled(t testing.TB) *config.Config {
	pub := publication(t)
	idx, err := config.ParseIndex(pub.Index.Text)
	require.NoError(t, err)
	s, err := config.ParseService(idx.Entries[0], pub.Services[0].Text)
	require.NoError(t, err)
	c, err := config.Assemble(idx, []*config.Service{s})
	require.NoError(t, err)
	return c
}

func TestPrintedDocumentsAreParsed(t *testing.T) {
	c := assembled(t)
	require.EqualValues(t, 3, c.Index.Version.Revision)
	require.Equal(t, "s", c.Lookup("", "s.example:80").Name)
	svc, target := c.Target("vm1")
	require.Equal(t, "s", svc.Name)
	require.Equal(t, 2, target.Slots)
	svc, target = c.Target("vm2")
	require.Nil(t, svc)
	require.Nil(t, target)
}

func TestMissingOrChangedDocumentIsRefused(t *testing.T) {
	pub := publication(t)
	idx, err := config.ParseIndex(pub.Index.Text)
	require.NoError(t, err)
	_, err = config.Assemble(idx, nil)
	require.ErrorContains(t, err, "missing")
	_, err = config.ParseService(idx.Entries[0], append(pub.Services[0].Text, '\n'))
	require.ErrorContains(t, err, "doesn't match")
}

// Every pair of different versions must have one order, the same on every node.
func TestVersionsAreTotallyOrdered(t *testing.T) {
	list := []config.Version{{}, {Revision: 1, Digest: "a"}, {Revision: 1, Digest: "b"}, {Revision: 2, Digest: "a"}}
	for i, a := range list {
		for j, b := range list {
			require.Equal(t, i > j, a.Newer(b), "%v over %v", a, b)
		}
	}
}

func TestStampNewer(t *testing.T) {
	c := assembled(t)
	s := c.Stamp(c.Services["s"], "vm1")
	got, ok := config.ParseStamp(s.String())
	require.True(t, ok)
	require.Equal(t, s, got)
	require.False(t, got.Newer(c))
	got.Version.Revision++
	require.True(t, got.Newer(c))
	for _, bad := range []string{"", "x", s.String() + " more", s.Tag + " -1 " + s.Version.Digest + " vm1", s.Tag + " 1 short vm1"} {
		_, ok := config.ParseStamp(bad)
		require.False(t, ok, bad)
	}
}

// FuzzParseIndex checks ParseIndex with arbitrary documents, which operators could
// publish by mistake.
func FuzzParseIndex(f *testing.F) {
	f.Add(publication(f).Index.Text)
	f.Fuzz(func(t *testing.T, text []byte) {
		idx, err := config.ParseIndex(text)
		if err != nil {
			return
		}
		require.Positive(t, idx.Version.Revision)
		require.Equal(t, config.Digest(text), idx.Version.Digest)
	})
}

// FuzzParseService checks ParseService with arbitrary documents. Their entries have
// the right size and digest, since the publisher of a document also writes its entry.
func FuzzParseService(f *testing.F) {
	f.Add(publication(f).Services[0].Text)
	f.Fuzz(func(t *testing.T, text []byte) {
		e := config.Entry{Service: "s", Key: "k", Size: len(text), Digest: config.Digest(text)}
		s, err := config.ParseService(e, text)
		if err != nil {
			return
		}
		require.Equal(t, "s", s.Name)
		require.False(t, slices.ContainsFunc(s.Targets, func(t fleet.Target) bool { return t.Slots <= 0 }))
	})
}
