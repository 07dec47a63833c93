// Package docs_test checks the pages of this repository.
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

var link = regexp.MustCompile(`\]\(([^)#\s]+)(#[^)]*)?\)`)

// pages gives the path of every Markdown page.
func pages(t *testing.T) []string {
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

func TestLinksLeadSomewhere(t *testing.T) {
	for _, page := range pages(t) {
		text, err := os.ReadFile(page)
		require.NoError(t, err)
		for _, m := range link.FindAllStringSubmatch(string(text), -1) {
			if strings.Contains(m[1], "://") {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(page), filepath.FromSlash(m[1])))
			require.NoError(t, err, "%s links to %s", page, m[1])
		}
	}
}

var testName = regexp.MustCompile("`(Test[A-Za-z0-9]+)`")

// A page that claims a proof must name a test that is there.
func TestWhatIsProvedNamesTestsThatExist(t *testing.T) {
	text, err := os.ReadFile("PROVED.md")
	require.NoError(t, err)
	declared := declaredTests(t)
	named := testName.FindAllStringSubmatch(string(text), -1)
	require.NotEmpty(t, named)
	for _, m := range named {
		require.True(t, strings.Contains(declared, "func "+m[1]+"("), m[1])
	}
}

// declaredTests is the text of every test file.
func declaredTests(t *testing.T) string {
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
