package fleet

import (
	"bytes"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// keyLine goes before each document where several stand in one stream.
const keyLine = "; key: "

// documents lists all of them in the order in which they are to be published.
func (p *Publication) documents() []Document {
	return append(slices.Clone(p.Services), p.Index)
}

// Values gives the texts of all documents by key, as the platform holds them.
func (p *Publication) Values() map[string][]byte {
	values := map[string][]byte{}
	for _, doc := range p.documents() {
		values[doc.Key] = doc.Text
	}
	return values
}

// WriteTo writes all documents as one stream, each after a line with its key,
// in the order in which they are to be published.
func (p *Publication) WriteTo(w io.Writer) (int64, error) {
	var out bytes.Buffer
	for _, doc := range p.documents() {
		out.WriteString(keyLine + doc.Key + "\n")
		out.Write(doc.Text)
	}
	return out.WriteTo(w)
}

// WriteDir writes each document into a file of dir named after its key, the
// index last. Files of earlier publications stay.
func (p *Publication) WriteDir(dir string) error {
	for _, doc := range p.documents() {
		file := filepath.Join(dir, filepath.FromSlash(doc.Key))
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			return eris.Wrap(err, "write documents")
		}
		// Whoever reads while this writes finds the old text or the new one whole.
		if err := os.WriteFile(file+".new", doc.Text, 0o644); err != nil {
			return eris.Wrap(err, "write documents")
		}
		if err := os.Rename(file+".new", file); err != nil {
			return eris.Wrap(err, "write documents")
		}
	}
	return nil
}

// Split takes a stream that WriteTo wrote apart. Text before the first key line
// is refused.
func Split(stream []byte) (map[string][]byte, error) {
	docs := map[string][]byte{}
	key := ""
	for line := range bytes.Lines(stream) {
		if name, ok := strings.CutPrefix(string(line), keyLine); ok {
			key = strings.TrimSpace(name)
			if _, twice := docs[key]; twice {
				return nil, eris.Errorf("document %s stands there twice", key)
			}
			docs[key] = []byte{}
			continue
		}
		if key == "" {
			return nil, eris.Errorf("no line %q before the first document", strings.TrimSpace(keyLine)+" NAME")
		}
		docs[key] = append(docs[key], line...)
	}
	return docs, nil
}

// ReadDir reads the documents of a directory that WriteDir wrote, by key.
func ReadDir(dir string) (map[string][]byte, error) {
	docs := map[string][]byte{}
	err := filepath.WalkDir(dir, func(file string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(dir, file)
		if err != nil {
			return err
		}
		text, err := readDocument(file)
		if err != nil {
			return err
		}
		docs[filepath.ToSlash(name)] = text
		return nil
	})
	if err != nil {
		return nil, eris.Wrap(err, "read documents")
	}
	return docs, nil
}

// readDocument reads a file up to just over the largest document, so that a
// file that is no document is found without being read whole.
func readDocument(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, MaxDocument+1))
}
