package fairqueue

import (
	"bufio"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/golden"
	"thistlequay/timeunit"
)

// A scenario in testdata is played line by line; README.md there has the notation.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	var histories []byte
	for _, file := range files {
		history := golden.NewHistory()
		name := strings.TrimSuffix(filepath.Base(file), ".txt")
		t.Run(name, func(t *testing.T) { play(t, file, history) })
		histories = fmt.Appendf(histories, "%s %s\n", name, history)
	}
	golden.Check(t, "scenarios.txt", histories)
}

type stageOf struct {
	*require.Assertions
	terms  Config
	l      *Scheduler
	now    timeunit.Ticks
	turn   float64
	claims map[string]*Reservation

	history *golden.History
}

func play(t *testing.T, file string, history *golden.History) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	s := &stageOf{Assertions: require.New(t), history: history, claims: map[string]*Reservation{}, terms: Config{OthersWeight: 1, NewcomerFraction: 0.25, MaxHeavyHitters: 2,
		SharedFlows: 4, Burst: 1, MinHistory: 10_000, RehashInterval: 1 << 50, Cores: 1, SoftDeadlines: []timeunit.Ticks{1_600}}}
	in := bufio.NewScanner(f)
	for n := 1; in.Scan(); n++ {
		line, _, _ := strings.Cut(in.Text(), "#")
		if word := strings.Fields(line); len(word) > 0 {
			s.step(word, fmt.Sprintf("%s:%d %s", file, n, strings.TrimSpace(line)))
		}
	}
}

func (s *stageOf) number(text, where string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	s.NoError(err, where)
	return v
}

func (s *stageOf) step(word []string, where string) {
	switch word[0] {
	case "terms": // key=value; a tenant's share under its name with a dot before it
		s.terms.Tenants = nil
		for _, w := range word[1:] {
			key, text, _ := strings.Cut(w, "=")
			v := s.number(text, where)
			switch key {
			case "others":
				s.terms.OthersWeight = v
			case "books":
				s.terms.MaxHeavyHitters = int(v)
			case "groups":
				s.terms.SharedFlows = int(v)
			case "burst":
				s.terms.Burst = timeunit.Ticks(v * 10)
			case "reshuffle":
				s.terms.RehashInterval = timeunit.Ticks(v * 10)
			case "cores":
				s.terms.Cores = int(v)
			default:
				s.True(strings.HasPrefix(key, "."), where)
				s.terms.Tenants = append(s.terms.Tenants, Tenant{Name: key[1:], Weight: v})
			}
		}
		if s.l == nil {
			s.l = New(s.terms, rand.New(rand.NewSource(1)), s.now)
		} else {
			s.l.Reconfigure(s.terms, s.now)
		}
	case "at":
		s.now = timeunit.Ticks(s.number(word[1], where) * 10)
		if len(word) > 2 {
			s.step(word[2:], where)
		}
	case "turn":
		s.turn = s.number(word[1], where)
	case "open": // NAME TENANT [turn=T] [behind=MS]
		c := s.l.Reserve([]byte(word[2]), 0, s.turn, s.now)
		s.claims[word[1]] = &c
		s.history.Add(s.now, c.StartTag, c.ExpectedDelay)
		for _, w := range word[3:] {
			key, text, _ := strings.Cut(w, "=")
			got := map[string]float64{"turn": c.StartTag, "behind": float64(c.ExpectedDelay) / 10}[key]
			s.InDelta(s.number(text, where), got, 0.11, where)
		}
	case "runs": // TENANT EVERY TOOK UNTIL: a run after the other, in milliseconds
		every, took := timeunit.Ticks(s.number(word[2], where)*10), timeunit.Ticks(s.number(word[3], where)*10)
		for end := timeunit.Ticks(s.number(word[4], where) * 10); s.now < end; s.now += every {
			c := s.l.Reserve([]byte(word[1]), 0, s.turn, s.now)
			s.history.Add(s.now, c.StartTag, c.ExpectedDelay)
			c.Start(s.now)
			c.Release(s.now + took)
		}
	case "book": // TENANT KIND: what kind of book it has
		a, _ := s.l.flowOf([]byte(word[1]))
		s.Equal(word[2], map[flowKind]string{namedFlow: "named", heavyHitterFlow: "heavy", sharedFlow: "group"}[a.kind], where)
	case "apart": // TENANT TENANT: no longer in one group
		a, _ := s.l.flowOf([]byte(word[1]))
		b, _ := s.l.flowOf([]byte(word[2]))
		s.NotSame(a, b, where)
	case "together":
		a, _ := s.l.flowOf([]byte(word[1]))
		b, _ := s.l.flowOf([]byte(word[2]))
		s.Same(a, b, where)
	default:
		c := s.claims[word[1]]
		s.NotNil(c, where)
		switch word[0] {
		case "began":
			c.Start(s.now)
		case "called":
			c.Suspend(s.now)
		case "resumed":
			c.Resume(s.now)
		case "undone":
			c.UndoStart(s.now)
		case "close":
			c.Release(s.now)
		case "return": // NAME LEAST MOST FROM TO
			v := make([]float64, 4)
			for i := range v {
				v[i] = s.number(word[2+i], where)
			}
			got := float64(c.RetryAfter(timeunit.Ticks(v[0]*10), timeunit.Ticks(v[1]*10), s.now)) / 10
			s.history.Add(s.now, got)
			s.True(got >= v[2] && got <= v[3], "%s: %v", where, got)
		default:
			s.Fail("unknown line", where)
		}
	}
}
