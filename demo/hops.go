package demo

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"time"
)

// span has the fields of an exported trace span that the demo prints.
type span struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
	StartTime   time.Time
	EndTime     time.Time
	Resource    []struct {
		Key   string
		Value struct{ Value any }
	}
}

func (s span) vm() string {
	for _, a := range s.Resource {
		if a.Key == "service.instance.id" {
			return fmt.Sprint(a.Value.Value)
		}
	}
	return ""
}

// printTraces prints the spans in the file at path as one tree for each trace.
func printTraces(path string, out io.Writer) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	children := map[string][]span{}
	d := json.NewDecoder(f)
	for {
		var s span
		err := d.Decode(&s)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return fmt.Errorf("read trace file: %w", err)
		}
		parent := s.Parent.SpanID
		if parent == "0000000000000000" {
			parent = ""
		}
		children[parent] = append(children[parent], s)
	}
	printTree(children, "", "  ", out)
	return nil
}

func printTree(children map[string][]span, parent, indent string, out io.Writer) {
	list := children[parent]
	sort.Slice(list, func(i, j int) bool { return list[i].StartTime.Before(list[j].StartTime) })
	for _, s := range list {
		if parent == "" {
			fmt.Fprintf(out, "trace %s\n", s.SpanContext.TraceID)
		}
		fmt.Fprintf(out, "%s%s vm=%s %.2f ms\n", indent, s.Name, s.vm(), float64(s.EndTime.Sub(s.StartTime).Microseconds())/1000)
		printTree(children, s.SpanContext.SpanID, indent+"  ", out)
	}
}
