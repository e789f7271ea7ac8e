package chain

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
		t.Run(name, func(t *testing.T) {
			f, err := os.Open(file)
			require.NoError(t, err)
			defer f.Close()
			s := &scene{Assertions: require.New(t), walks: map[string]*Evaluation{}, history: history}
			in := bufio.NewScanner(f)
			for n := 1; in.Scan(); n++ {
				line, _, _ := strings.Cut(in.Text(), "#")
				if word := strings.Fields(line); len(word) > 0 {
					s.step(word, fmt.Sprintf("%s:%d %s", file, n, strings.TrimSpace(line)))
				}
			}
		})
		histories = fmt.Appendf(histories, "%s %s\n", name, history)
	}
	golden.Check(t, "scenarios.txt", histories)
}

type scene struct {
	*require.Assertions
	grants []Policy
	chain  *Chain
	walks  map[string]*Evaluation
	now    timeunit.Ticks

	history *golden.History
}

const categories = 3

func (s *scene) number(text, where string) float64 {
	v, err := strconv.ParseFloat(text, 64)
	s.NoError(err, where)
	return v
}

var faultNames = map[string]Fault{"late": FaultTimeout, "trap": FaultTrap, "nonsense": FaultMalformed, "beyond": FaultNotPermitted, "died": FaultProcessDied, "absent": FaultUnavailable}

func (s *scene) step(word []string, where string) {
	switch word[0] {
	case "plugin":
		g := Policy{Name: word[1], Categories: []bool{true, true, true}, TargetCategories: make([]bool, categories), Tenants: map[string]bool{},
			CallTimeout: 50, MaxTimeFraction: 0.5, CoreFraction: 1, MaxConsecutiveFaults: 3, MaxFaultRate: 1, MinQuarantine: 1_000, MaxQuarantine: 10_000}
		for _, w := range word[2:] {
			key, text, _ := strings.Cut(w, "=")
			switch key {
			case "read":
				g.Hooks[HookRead] = true
			case "result":
				g.Hooks[HookResult] = true
			case "declines":
				g.MayReject = true
			case "tags":
				g.MayTag = true
			case "rewrites":
				g.MayRewrite = true
			case "alone":
				g.FaultsByTenant = true
			case "otherwise-decline":
				g.Fallback = FallbackReject
			case "only":
				g.Categories = make([]bool, categories)
				g.Categories[int(s.number(text, where))] = true
			case "tenant":
				g.Tenants[text] = true
			case "to":
				g.TargetCategories[int(s.number(text, where))] = true
			case "call":
				g.CallTimeout = timeunit.Ticks(s.number(text, where) * 10)
			case "share":
				g.MaxTimeFraction = s.number(text, where)
			case "core":
				g.CoreFraction = s.number(text, where)
			case "row":
				g.MaxConsecutiveFaults = int(s.number(text, where))
			case "rate":
				g.MaxFaultRate = s.number(text, where)
			default:
				s.Fail("unknown grant", where)
			}
		}
		s.grants = append(s.grants, g)
	case "chain": // [fresh NAME]
		fresh := map[string]bool{}
		for _, w := range word[1:] {
			fresh[w] = true
		}
		s.chain = New(s.grants, s.chain, func(name string) bool { return fresh[name] }, rand.New(rand.NewSource(1)), s.now)
		s.grants = nil
	case "at":
		s.now = timeunit.Ticks(s.number(word[1], where) * 10)
		if len(word) > 2 {
			s.step(word[2:], where)
		}
	case "read", "result": // NAME [category=N tenant=T left=MS fixed body=TEXT] => asked plug-in, how long, or what came of it
		it := Request{Tenant: "acme", TimeLeft: 10_000}
		body := ""
		i := 2
		for ; i < len(word) && word[i] != "=>"; i++ {
			key, text, _ := strings.Cut(word[i], "=")
			switch key {
			case "category":
				it.Category = int(s.number(text, where))
			case "tenant":
				it.Tenant = text
			case "left":
				it.TimeLeft = timeunit.Ticks(s.number(text, where) * 10)
			case "fixed":
				it.CategoryFixed = true
			case "body":
				body = text
			}
		}
		point := map[string]Hook{"read": HookRead, "result": HookResult}[word[0]]
		w := s.chain.Begin(point, it, []byte(body), s.now)
		s.walks[word[1]] = w
		s.next(w, word[i+1:], where)
	case "says": // NAME TOOK [decline=STATUS to=N tag=T replace=TEXT] => as above
		w := s.walks[word[1]]
		v := Verdict{Category: -1}
		i := 3
		for ; i < len(word) && word[i] != "=>"; i++ {
			key, text, _ := strings.Cut(word[i], "=")
			switch key {
			case "decline":
				v.Reject, v.Status = true, int(s.number(text, where))
			case "to":
				v.Category = int(s.number(text, where))
			case "tag":
				v.HasTag, v.Tag = true, text
			case "replace":
				v.Replace, v.Body = true, []byte(text)
			}
		}
		f, wrong, off := w.ApplyVerdict(v, timeunit.Ticks(s.number(word[2], where)*10), s.now)
		s.history.Add(s.now, int(f), wrong, off)
		s.outcome(w, f, wrong, off, word[i+1:], where)
	case "fails": // NAME FAULT TOOK => as above
		w := s.walks[word[1]]
		f := faultNames[word[2]]
		off := w.RecordFault(f, timeunit.Ticks(s.number(word[3], where)*10), s.now)
		s.history.Add(s.now, int(f), off)
		s.outcome(w, f, false, off, word[5:], where)
	case "state":
		s.Equal(strings.Join(word[2:], " "), StateNames[s.plugin(word[1]).State], where)
	case "under":
		s.Equal(word[1], strconv.Itoa(s.chain.OpenEvaluations), where)
	default:
		s.Fail("unknown line", where)
	}
}

func (s *scene) plugin(name string) *Plugin {
	for _, p := range s.chain.Plugins {
		if p.Name == name {
			return p
		}
	}
	return nil
}

func (s *scene) outcome(w *Evaluation, f Fault, wrong, off bool, want []string, where string) {
	var said []string
	if wrong {
		said = append(said, "fault:"+strings.Fields(FaultNames[f])[0])
	}
	if off {
		said = append(said, "off")
	}
	s.GreaterOrEqual(len(want), len(said), where)
	s.Equal(want[:len(said)], append([]string{}, said...), where)
	s.next(w, want[len(said):], where)
}

// next goes on with a walk and checks who is asked, for how long, or what came of it.
func (s *scene) next(w *Evaluation, want []string, where string) {
	p, within := w.Next(s.now)
	addWalk(s.history, w, p, within, s.now)
	addPlugins(s.history, s.chain)
	var got []string
	if p != nil {
		got = []string{"ask:" + p.Name, fmt.Sprint(float64(within) / 10)}
	} else if got = []string{"over"}; w.Rejected {
		got = append(got, fmt.Sprint("declined:", w.Status))
	} else {
		if w.Category != w.request.Category {
			got = append(got, fmt.Sprint("to:", w.Category))
		}
		if w.Tag != "" {
			got = append(got, "tag:"+w.Tag)
		}
		if w.Rewritten {
			got = append(got, "body:"+string(w.Body))
		}
	}
	s.Equal(want, got, where)
}

// FuzzWalks: whatever verdicts come, a walk ends, gives nothing that was not granted and stays within its time.
func FuzzWalks(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { playWalks(t, seed, golden.NewHistory()) })
}

// playWalks sends a hundred walks with random verdicts through a random chain and adds all that comes of them to history.
func playWalks(t *testing.T, seed int64, history *golden.History) {
	r := rand.New(rand.NewSource(seed))
	flip := func() bool { return r.Intn(2) == 0 }
	var grants []Policy
	for i := range 1 + r.Intn(3) {
		grants = append(grants, Policy{Name: fmt.Sprint(i), Hooks: [3]bool{flip(), flip(), flip()}, Categories: []bool{flip(), flip(), flip()},
			TargetCategories: []bool{flip(), flip(), flip()}, MayReject: flip(), MayTag: flip(), MayRewrite: flip(), CallTimeout: 50, MaxTimeFraction: r.Float64(), CoreFraction: r.Float64(),
			Fallback: FallbackPolicy(r.Intn(2)), FaultsByTenant: flip(), MaxConsecutiveFaults: 1 + r.Intn(3), MaxFaultRate: r.Float64(), MinQuarantine: 100, MaxQuarantine: 1000})
	}
	chain := New(grants, nil, func(string) bool { return true }, r, 0)
	now := timeunit.Ticks(0)
	for range 100 {
		now += timeunit.Ticks(r.Intn(100))
		at := Hook(r.Intn(2))
		it := Request{Category: r.Intn(3), Tenant: fmt.Sprint(r.Intn(3)), TimeLeft: timeunit.Ticks(r.Intn(5000)), CategoryFixed: flip()}
		body := []byte("0123456789"[:r.Intn(10)])
		w := chain.Begin(at, it, body, now)
		begun := now
		granted := Policy{TargetCategories: make([]bool, 3)}
		for p, within := w.Next(now); p != nil; p, within = w.Next(now) {
			addWalk(history, w, p, within, now)
			require.True(t, within > 0 && within <= p.CallTimeout && now+within <= begun+it.TimeLeft/2+1)
			granted.MayReject = granted.MayReject || p.MayReject
			granted.MayTag, granted.MayRewrite = granted.MayTag || p.MayTag, granted.MayRewrite || p.MayRewrite
			for i := range p.TargetCategories {
				granted.TargetCategories[i] = granted.TargetCategories[i] || p.TargetCategories[i]
			}
			took := timeunit.Ticks(r.Intn(int(within) + 1))
			now += took
			if flip() {
				off := w.RecordFault(Fault(r.Intn(len(FaultNames))), took, now)
				history.Add(off)
			} else {
				f, wrong, off := w.ApplyVerdict(Verdict{Reject: flip(), Status: r.Intn(700), Category: r.Intn(6) - 2, HasTag: flip(), Tag: "x", Replace: flip(),
					Body: []byte("0123456789"[:r.Intn(10)])}, took, now)
				history.Add(int(f), wrong, off)
			}
		}
		addWalk(history, w, nil, 0, now)
		addPlugins(history, chain)
		if w.Rejected {
			require.True(t, at == HookRead && (w.Status == statusUnavailable || granted.MayReject && w.Status >= 400 && w.Status < 500))
		}
		if w.Category != it.Category {
			require.True(t, at == HookRead && !it.CategoryFixed && granted.TargetCategories[w.Category])
		}
		require.True(t, w.Tag == "" || granted.MayTag)
		require.True(t, !w.Rewritten || at == HookResult && granted.MayRewrite && len(w.Body) < len(body))
	}
	require.Zero(t, chain.OpenEvaluations)
}

// One plug-in of many is asked.
func BenchmarkWalk(b *testing.B) {
	for _, n := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("loaded=", n), func(b *testing.B) {
			var grants []Policy
			for i := range n {
				g := Policy{Name: fmt.Sprint(i), Categories: []bool{false, true}, TargetCategories: []bool{false, false}, CallTimeout: 50, MaxTimeFraction: 0.5, CoreFraction: 1, MaxConsecutiveFaults: 3, MaxFaultRate: 1, MinQuarantine: 1, MaxQuarantine: 1}
				g.Hooks[HookRead] = true
				if i == n/2 {
					g.Categories[0] = true
				}
				grants = append(grants, g)
			}
			chain := New(grants, nil, func(string) bool { return true }, rand.New(rand.NewSource(1)), 0)
			now := timeunit.Ticks(0)
			it := Request{Tenant: "acme", TimeLeft: 10_000}
			for b.Loop() {
				now += 10
				w := chain.Begin(HookRead, it, nil, now)
				for p, _ := w.Next(now); p != nil; p, _ = w.Next(now) {
					w.ApplyVerdict(Verdict{Category: -1}, 0, now)
				}
			}
		})
	}
}
