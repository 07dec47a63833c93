package cli

import (
	"context"
	"errors"
	"io"
	"net/url"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/limpetdock/limpetdock/fleet"
	"github.com/limpetdock/limpetdock/internal/admin"
	"github.com/limpetdock/limpetdock/internal/config"
	"github.com/limpetdock/limpetdock/internal/platform"
)

const sourceHelp = "A source is a directory that an example wrote with --out, a file or - with the " +
	"stream that it prints, the base URL of a platform (http://IP:PORT), or a node's administration API (IP:PORT)."

// maxStream is the maximum size of a stream of documents, in bytes.
const maxStream = 64 << 20

// source is a place that configuration documents are read from.
type source struct {
	name  string
	stdin io.Reader
}

// config reads and validates the whole configuration, as a node does.
func (s source) config() (*config.Config, error) {
	docs, err := s.documents()
	if err != nil {
		return nil, err
	}
	c, err := config.FromDocuments(docs)
	if err != nil {
		return nil, eris.Errorf("%s: %v", s.name, err)
	}
	return c, nil
}

func (s source) documents() (map[string][]byte, error) {
	switch {
	case s.name == "-":
		return s.stream(s.stdin)
	case strings.HasPrefix(s.name, "http://"):
		return s.fromPlatform()
	case checkNodeAddress(s.name) == nil:
		text, err := fetch(s.name, admin.PathDocuments)
		if err != nil {
			return nil, err
		}
		return fleet.Split(text)
	}
	info, err := os.Stat(s.name)
	if err != nil {
		return nil, eris.Errorf("%s can't be read: %v", s.name, fileCause(err))
	}
	if info.IsDir() {
		return fleet.ReadDir(s.name)
	}
	file, err := os.Open(s.name)
	if err != nil {
		return nil, eris.Errorf("%s can't be read: %v", s.name, fileCause(err))
	}
	defer func() { _ = file.Close() }()
	return s.stream(file)
}

func (s source) stream(r io.Reader) (map[string][]byte, error) {
	text, err := io.ReadAll(io.LimitReader(r, maxStream))
	if err != nil {
		return nil, eris.Errorf("%s can't be read: %v", s.name, fileCause(err))
	}
	docs, err := fleet.Split(text)
	if err != nil {
		return nil, eris.Errorf("%s: %v", s.name, err)
	}
	return docs, nil
}

// fromPlatform reads the index and the documents that it lists.
func (s source) fromPlatform() (map[string][]byte, error) {
	base, err := url.Parse(s.name)
	if err != nil || base.Host == "" {
		return nil, usagef("%q is no http URL", s.name)
	}
	client := platform.NewHTTP(base)
	defer client.Close()
	index, err := client.Read(context.Background(), fleet.IndexKey)
	if err != nil {
		return nil, eris.Errorf("%s: the index can't be read: %v", s.name, rootCause(err))
	}
	docs := map[string][]byte{fleet.IndexKey: index.Text}
	idx, err := config.ParseIndex(index.Text)
	if err != nil {
		return nil, eris.Errorf("%s: %v", s.name, err)
	}
	for _, e := range idx.Entries {
		v, err := client.Read(context.Background(), e.Key)
		if errors.Is(err, platform.ErrNotFound) {
			continue // config.FromDocuments reports the missing document by name
		}
		if err != nil {
			return nil, eris.Errorf("%s: %s can't be read: %v", s.name, e.Key, rootCause(err))
		}
		docs[e.Key] = v.Text
	}
	return docs, nil
}

// fileCause removes the path that package os adds to its errors.
func fileCause(err error) error {
	var path *os.PathError
	if errors.As(err, &path) {
		return path.Err
	}
	return err
}
