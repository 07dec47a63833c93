package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"time"
)

// table is a table of measurements.
type table struct {
	Title string `json:"title"`
	// Note describes how the values were measured.
	Note    string     `json:"note"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// writeMarkdown writes the table as Markdown.
func (t *table) writeMarkdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n", t.Title, t.Note)
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}

// publish prints the tables and writes them to <out>/<name>.md and .json. If a
// page is given, it also replaces the page's section of that name.
func (c common) publish(name string, tables ...*table) error {
	var text strings.Builder
	fmt.Fprintf(&text, "%s\n\n", c.environment)
	for _, t := range tables {
		t.writeMarkdown(&text)
	}
	fmt.Print(text.String())
	if err := os.WriteFile(filepath.Join(c.Out, name+".md"), []byte(text.String()), 0o644); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(tables, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(c.Out, name+".json"), encoded, 0o644); err != nil {
		return err
	}
	if c.Page == "" {
		return nil
	}
	page, err := os.ReadFile(c.Page)
	if err != nil {
		return err
	}
	next, err := replaceSection(string(page), name, text.String())
	if err != nil {
		return fmt.Errorf("%s: %w", c.Page, err)
	}
	return os.WriteFile(c.Page, []byte(next), 0o644)
}

// replaceSection replaces the text between the markers of a section of a page.
func replaceSection(page, name, text string) (string, error) {
	begin, end := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	before, rest, ok := strings.Cut(page, begin)
	_, after, closed := strings.Cut(rest, end)
	if !ok || !closed {
		return "", fmt.Errorf("no section %q", name)
	}
	return before + begin + text + end + after, nil
}

// describe returns the time, commit and machine load of a run, which are needed
// to judge whether its figures can be trusted.
func (c *common) describe() string {
	load := "unknown"
	if text, err := os.ReadFile("/proc/loadavg"); err == nil {
		load, _, _ = strings.Cut(string(text), " ")
	}
	return fmt.Sprintf("%s, commit %s, %d processors, load average %s before the run.",
		time.Now().UTC().Format("2006-01-02 15:04 MST"), c.Commit, runtime.NumCPU(), load)
}

// ms formats milliseconds for tables.
func ms(v float64) string { return fmt.Sprintf("%.2f", v) }

// count formats a count for tables.
func count(v float64) string { return fmt.Sprintf("%.0f", v) }
