// Package docs_test checks the Markdown pages of this repository.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// linkPattern matches a Markdown link. Its first group is the target without the fragment.
var linkPattern = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)

// markdownPages returns the paths of all Markdown pages.
func markdownPages(t *testing.T) []string {
	t.Helper()
	var list []string
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "build" || entry.Name() == ".git") {
			return fs.SkipDir
		}
		if strings.HasSuffix(path, ".md") {
			list = append(list, path)
		}
		return nil
	})
	require.NoError(t, err)
	require.NotEmpty(t, list)
	return list
}

// Every relative link in a page must point to an existing file.
func TestRelativeLinksResolve(t *testing.T) {
	for _, page := range markdownPages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range linkPattern.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), filepath.FromSlash(m[1])))
			require.NoError(t, err, "%s links to %s", page, m[1])
		}
	}
}

var testNamePattern = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")

// PROVED.md lists the tests behind each guarantee. A test that is renamed or removed
// must not stay listed.
func TestProvedPageNamesExistingTests(t *testing.T) {
	text, err := os.ReadFile("PROVED.md")
	require.NoError(t, err)
	sources := testSources(t)
	named := testNamePattern.FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, named)
	for _, m := range named {
		require.True(t, strings.Contains(sources, "func "+m[1]+"("), m[1])
	}
}

// testSources returns the concatenated text of all test files.
func testSources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	require.NoError(t, err)
	return all.String()
}
