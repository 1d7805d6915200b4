// Package sequoiameasure measures latency, throughput and control-plane cost on loopback, with stand-ins for the store
// and the upstreams in the same program. At sizes that do not fit on one machine, it measures the control core alone.
package sequoiameasure

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Row is the median and the range of one metric over all runs.
type Row struct {
	Part    string
	Subject string
	Metric  string
	Unit    string
	Median  float64
	Lowest  float64
	Highest float64
	Runs    int
}

// Report lists the metrics in the order in which they were first recorded.
type Report struct {
	Rows []Row
}

// rowKey identifies a row.
type rowKey struct {
	part, subject, metric, unit string
}

// recorder collects the values of each row over all runs.
type recorder struct {
	order  []rowKey
	values map[rowKey][]float64
}

func newRecorder() *recorder {
	return &recorder{values: map[rowKey][]float64{}}
}

func (r *recorder) add(part, subject, metric, unit string, value float64) {
	k := rowKey{part, subject, metric, unit}
	if _, ok := r.values[k]; !ok {
		r.order = append(r.order, k)
	}
	r.values[k] = append(r.values[k], value)
}

func (r *recorder) report() *Report {
	report := &Report{}
	for _, k := range r.order {
		values := slices.Sorted(slices.Values(r.values[k]))
		report.Rows = append(report.Rows, Row{
			Part: k.part, Subject: k.subject, Metric: k.metric, Unit: k.unit,
			Median: median(values), Lowest: values[0], Highest: values[len(values)-1], Runs: len(values),
		})
	}
	return report
}

// median returns the median of a sorted slice that is not empty.
func median(sorted []float64) float64 {
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

// Print writes the report as a table, followed by a JSON object on a single line.
func (r *Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PART\tSUBJECT\tMETRIC\tUNIT\tMEDIAN\tLOWEST\tHIGHEST\tRUNS")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.4g\t%.4g\t%.4g\t%d\n",
			row.Part, row.Subject, row.Metric, row.Unit, row.Median, row.Lowest, row.Highest, row.Runs)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print the table")
	}
	return errors.Wrap(json.NewEncoder(out).Encode(r), "print the JSON object")
}
