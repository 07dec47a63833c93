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

// keyLinePrefix starts the line before each document in a stream of documents.
const keyLinePrefix = "; key: "

// documents returns all documents in the order in which they must be published.
func (p *Publication) documents() []Document {
	return append(slices.Clone(p.Services), p.Index)
}

// Values returns the texts of all documents by platform key.
func (p *Publication) Values() map[string][]byte {
	values := map[string][]byte{}
	for _, doc := range p.documents() {
		values[doc.Key] = doc.Text
	}
	return values
}

// WriteTo writes all documents as one stream, each after a line with its key, in the
// order in which they must be published.
func (p *Publication) WriteTo(w io.Writer) (int64, error) {
	var out bytes.Buffer
	for _, doc := range p.documents() {
		out.WriteString(keyLinePrefix + doc.Key + "\n")
		out.Write(doc.Text)
	}
	return out.WriteTo(w)
}

// WriteDir writes each document to a file in dir named after its key, the index
// last. It does not delete files of earlier publications.
func (p *Publication) WriteDir(dir string) error {
	for _, doc := range p.documents() {
		file := filepath.Join(dir, filepath.FromSlash(doc.Key))
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			return eris.Wrap(err, "write documents")
		}
		// Renaming is atomic: a concurrent reader sees either the old or the new file.
		if err := os.WriteFile(file+".new", doc.Text, 0o644); err != nil {
			return eris.Wrap(err, "write documents")
		}
		if err := os.Rename(file+".new", file); err != nil {
			return eris.Wrap(err, "write documents")
		}
	}
	return nil
}

// Split splits a stream written by WriteTo into documents by key. It refuses text
// before the first key line and duplicate keys.
func Split(stream []byte) (map[string][]byte, error) {
	docs := map[string][]byte{}
	key := ""
	for line := range bytes.Lines(stream) {
		if name, ok := strings.CutPrefix(string(line), keyLinePrefix); ok {
			key = strings.TrimSpace(name)
			if _, duplicate := docs[key]; duplicate {
				return nil, eris.Errorf("document %s appears twice", key)
			}
			docs[key] = []byte{}
			continue
		}
		if key == "" {
			return nil, eris.Errorf("no line %q before the first document", strings.TrimSpace(keyLinePrefix)+" NAME")
		}
		docs[key] = append(docs[key], line...)
	}
	return docs, nil
}

// ReadDir reads the documents in a directory written by WriteDir, by key.
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

// readDocument reads at most one byte more than MaxDocument, so that a file that is
// too large to be a document is detected without reading all of it.
func readDocument(file string) ([]byte, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	return io.ReadAll(io.LimitReader(f, MaxDocument+1))
}
