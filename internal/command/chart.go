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

// Size of a chart in characters. The width is the number of samples per line.
const (
	chartWidth  = 100
	chartHeight = 20
)

// quotaLinePattern matches the log line that a server writes when its quota of downstream calls changes. It also
// accepts the event name share, which older versions logged instead of quota.
var quotaLinePattern = regexp.MustCompile(`^(\S+) .*event=(?:quota|share) .*limit=calls .*usable=([0-9.]+)`)

// quotaPoint is the quota that a server may use from a point in time until its next change.
type quotaPoint struct {
	at     time.Time
	usable float64
}

// chartQuotas draws a chart with one line for each log: the quota that the server could use over time. The time axis
// runs from the first to the last change in any of the logs.
func chartQuotas(files []string, out io.Writer) error {
	var pointsByFile [][]quotaPoint
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
		pointsByFile = append(pointsByFile, points)
	}
	if first.IsZero() {
		return fmt.Errorf("no log line with event=quota in %s", strings.Join(files, ", "))
	}
	series := make([][]float64, len(pointsByFile))
	for i, points := range pointsByFile {
		series[i] = sampleQuota(points, first, last.Sub(first))
	}
	caption := fmt.Sprintf("calls in hand that could be used, %s to %s", first.Format(time.TimeOnly),
		last.Format(time.TimeOnly))
	_, err := fmt.Fprintln(out, asciigraph.PlotMany(series, asciigraph.Height(chartHeight), asciigraph.LowerBound(0),
		asciigraph.Caption(caption)))
	return err
}

// readQuotaPoints reads the quota changes from one log in text format. It skips all other lines.
func readQuotaPoints(file string) ([]quotaPoint, error) {
	input, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer input.Close() //nolint:errcheck // the file is only read
	var points []quotaPoint
	for scanner := bufio.NewScanner(input); scanner.Scan(); {
		match := quotaLinePattern.FindStringSubmatch(scanner.Text())
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

// sampleQuota returns the quota at the time of each chart column. It is 0 before the first point.
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
