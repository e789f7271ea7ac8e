package command

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/guptarohit/asciigraph"
)

// Size of a chart in characters.
const (
	chartWidth  = 100
	chartHeight = 20
)

// quotaLine matches the line that a server logs when its quota of calls changes. The event was named share before it
// was named quota.
var quotaLine = regexp.MustCompile(`^(\S+) .*event=(?:quota|share) .*limit=calls .*usable=([0-9.]+)`)

// quotaPoint is one change of the quota that a server may use.
type quotaPoint struct {
	at     time.Time
	usable float64
}

// chartQuotas draws each log as a line of what its server could use, over the time that all logs span.
func chartQuotas(files []string, out io.Writer) error {
	var series [][]quotaPoint
	var first, last time.Time
	for _, file := range files {
		points, err := readQuotaPoints(file)
		if err != nil {
			return err
		}
		for _, point := range points {
			if first.IsZero() || point.at.Before(first) {
				first = point.at
			}
			if point.at.After(last) {
				last = point.at
			}
		}
		series = append(series, points)
	}
	if first.IsZero() {
		return fmt.Errorf("no line event=quota in %s", strings.Join(files, ", "))
	}
	lines := make([][]float64, len(series))
	for i, points := range series {
		lines[i] = sampleQuota(points, first, last.Sub(first))
	}
	caption := fmt.Sprintf("calls in hand that could be used, %s to %s", first.Format(time.TimeOnly),
		last.Format(time.TimeOnly))
	_, err := fmt.Fprintln(out, asciigraph.PlotMany(lines, asciigraph.Height(chartHeight), asciigraph.LowerBound(0),
		asciigraph.Caption(caption)))
	return err
}

// readQuotaPoints reads the changes of the quota from one log in text format. Other lines are skipped.
func readQuotaPoints(file string) ([]quotaPoint, error) {
	in, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer in.Close() //nolint:errcheck // only read
	var points []quotaPoint
	for lines := bufio.NewScanner(in); lines.Scan(); {
		match := quotaLine.FindStringSubmatch(lines.Text())
		if match == nil {
			continue
		}
		at, errAt := time.Parse(time.RFC3339Nano, strings.TrimPrefix(match[1], "time="))
		usable, errUsable := strconv.ParseFloat(match[2], 64)
		if errAt == nil && errUsable == nil {
			points = append(points, quotaPoint{at, usable})
		}
	}
	return points, nil
}

// sampleQuota returns the quota at each column of the chart.
func sampleQuota(points []quotaPoint, first time.Time, span time.Duration) []float64 {
	samples := make([]float64, chartWidth)
	for column := range samples {
		at := first.Add(time.Duration(float64(span) * float64(column) / (chartWidth - 1)))
		for _, point := range points {
			if !point.at.After(at) {
				samples[column] = point.usable
			}
		}
	}
	return samples
}
