package cmdutil

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Table is output in rows. On a terminal, columns are aligned under the header. Otherwise
// columns are separated by tabs and the header is left out, for use by scripts.
type Table struct {
	Header []string
	Rows   [][]string
}

// Print writes value as indented JSON if asJSON is true, and table otherwise.
func (s *Streams) Print(table Table, value any, asJSON bool) error {
	if asJSON {
		return s.printJSON(value)
	}
	if !s.IsTerminal {
		return s.printPlain(table)
	}
	writer := tabwriter.NewWriter(s.Out, 0, 8, 2, ' ', 0)
	for _, row := range append([][]string{table.Header}, table.Rows...) {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return fmt.Errorf("print table: %w", err)
		}
	}
	return writer.Flush()
}

// printPlain writes the rows without header, columns separated by tabs.
func (s *Streams) printPlain(table Table) error {
	for _, row := range table.Rows {
		if _, err := fmt.Fprintln(s.Out, strings.Join(row, "\t")); err != nil {
			return fmt.Errorf("print rows: %w", err)
		}
	}
	return nil
}

func (s *Streams) printJSON(value any) error {
	encoder := json.NewEncoder(s.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}
