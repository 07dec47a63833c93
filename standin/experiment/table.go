package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// table is a table of measurements.
type table struct {
	Title string `json:"title"`
	// Note says how it was measured.
	Note    string     `json:"note"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t *table) add(cells ...string) { t.Rows = append(t.Rows, cells) }

// writeMarkdown writes the table so that a page can take it as it is.
func (t *table) writeMarkdown(w io.Writer) {
	fmt.Fprintf(w, "### %s\n\n%s\n\n", t.Title, t.Note)
	fmt.Fprintf(w, "| %s |\n|%s\n", strings.Join(t.Columns, " | "), strings.Repeat("---|", len(t.Columns)))
	for _, row := range t.Rows {
		fmt.Fprintf(w, "| %s |\n", strings.Join(row, " | "))
	}
	fmt.Fprintln(w)
}

// publish prints tables and writes them to <dir>/<name>.md and .json.
func publish(dir, name string, tables ...*table) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var text strings.Builder
	for _, t := range tables {
		t.writeMarkdown(&text)
	}
	fmt.Print(text.String())
	if err := os.WriteFile(filepath.Join(dir, name+".md"), []byte(text.String()), 0o644); err != nil {
		return err
	}
	encoded, err := json.MarshalIndent(tables, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name+".json"), encoded, 0o644)
}

// ms and count write figures for tables.
func ms(v float64) string { return fmt.Sprintf("%.2f", v) }

func count(v float64) string { return fmt.Sprintf("%.0f", v) }
