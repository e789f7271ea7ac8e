package membership

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/timeunit"
)

// Scenarios are text files; testdata/README.md explains their notation.
func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			playScenario(t, file, func(*player) {})
		})
	}
}

// playScenario plays a scenario file and calls done after each line.
func playScenario(t *testing.T, file string, done func(*player)) {
	in, err := os.Open(file)
	require.NoError(t, err)
	defer in.Close()
	p := &player{Assertions: require.New(t), seqs: map[ID]uint64{}}
	lines := bufio.NewScanner(in)
	for n := 1; lines.Scan(); n++ {
		text, _, _ := strings.Cut(lines.Text(), "#")
		if fields := strings.Fields(text); len(fields) > 0 {
			p.where = fmt.Sprintf("%s:%d: %s", file, n, text)
			p.play(fields[0], fields[1:])
			done(p)
		}
	}
}

type player struct {
	*require.Assertions
	view   *View
	accord *Agreement
	seqs   map[ID]uint64
	where  string
}

func (p *player) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	p.NoError(err, p.where)
	return n
}

func (p *player) id(text string) ID {
	name, life, found := strings.Cut(text, ".")
	p.True(found, p.where)
	return ID{name, uint64(p.number(life))}
}

func (p *player) state(text string) State {
	for i, name := range StateNames {
		if name == text {
			return State(i)
		}
	}
	p.FailNow(p.where)
	return 0
}

// keys reads the words of a line that are key=value.
func (p *player) keys(words []string) map[string]string {
	of := map[string]string{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		of[k] = v
	}
	return of
}

func (p *player) play(what string, with []string) {
	switch what {
	case "me":
		t := DefaultConfig(p.id(with[0]))
		if text := p.keys(with[1:])["servers"]; text != "" {
			t.InitialSize = int(p.number(text))
		}
		t.Founders = strings.Split(p.keys(with[1:])["founders"], ",")
		p.view = NewView(t, 0)
		p.accord = NewAgreement(p.view)
		p.view.UpdateSelf(StateUpdate{Address: "here", State: StateServing})
	case "at":
		p.view.Advance(timeunit.Milliseconds(p.number(with[0])), 200)
		p.accord.Tick()
		p.view.Tick(p.accord.QuorumStatus())
	case "pass": // time goes by in small steps
		for end := p.view.now + timeunit.Milliseconds(p.number(with[0])); p.view.now < end; {
			p.view.Advance(p.view.now+200, 200)
			p.accord.Tick()
			p.view.Tick(p.accord.QuorumStatus())
		}
	case "hear":
		id, of := p.id(with[0]), p.keys(with[2:])
		p.seqs[id]++
		w := StateUpdate{ID: id, Sequence: p.seqs[id], Address: "a-" + id.Name, State: p.state(with[1]), Zone: of["zone"]}
		for key, to := range map[string]*int64{"slept": &w.PausedMs, "late": &w.LoopLagMs, "age": &w.AgeMs} {
			if of[key] != "" {
				*to = p.number(of[key])
			}
		}
		if of["at"] != "" {
			w.Address = of["at"]
		}
		if of["seq"] != "" {
			w.Sequence = uint64(p.number(of["seq"]))
		}
		if of["misses"] != "" {
			w.Unreachable = strings.Split(of["misses"], ",")
		}
		p.view.ApplyUpdate(w)
	case "answered":
		p.view.ProbeSucceeded(p.id(with[0]), 10)
	case "missed":
		p.view.ProbeFailed(p.id(with[0]))
	case "doubted":
		p.view.Suspected(p.id(with[0]))
	case "lost":
		p.view.Failed(p.id(with[0]))
	case "back":
		p.view.Refuted(p.id(with[0]))
	case "left":
		p.view.Left(p.id(with[0]))
	case "dialled":
		p.view.DialFinished(p.id(with[0]), map[string]DialResult{"refused": DialRefused, "taken": DialAccepted, "nothing": DialTimedOut}[with[1]])
	case "is":
		m := p.view.Member(p.id(with[0]))
		p.NotNil(m, p.where)
		p.Equal(strings.Join(with[1:], " "), strings.TrimSpace(m.State.String()+" "+m.Cause.String()), p.where)
	case "unknown":
		p.Nil(p.view.Member(p.id(with[0])), p.where)
	case "holds":
		id, known := p.view.NameOwner(with[0])
		p.True(known, p.where)
		p.Equal(with[1], fmt.Sprint(id.Name, ".", id.Incarnation), p.where)
	case "size":
		p.Equal(p.number(with[0]), int64(p.view.EffectiveSize()), p.where)
	case "stands":
		p.Equal(with[0], p.accord.QuorumStatus().String(), p.where)
	case "chosen": // a fleet of these voters is heard of
		f := Configuration{Epoch: uint64(p.number(with[0])), LeaseDuration: 1500, MemberCount: len(with) - 1}
		for _, text := range with[1:] {
			id := p.id(text)
			f.Voters = append(f.Voters, Voter{id, "a-" + id.Name})
		}
		p.accord.Step(Message{Kind: MessageCommitted, Epoch: f.Epoch, Configuration: &f})
	case "supported":
		for _, text := range with {
			p.accord.Step(Message{Kind: MessageLeaseGrant, From: p.id(text), Epoch: p.accord.configuration.Epoch, RequestedAt: p.view.now})
		}
	case "counts":
		for key, value := range p.keys(with) {
			c := p.view.Counts
			p.Equal(p.number(value), int64(map[string]int{"insane": c.Invalid, "old": c.Stale, "alarms": c.FalsePositives, "taken": c.NameConflicts}[key]), p.where)
		}
	default:
		p.FailNow(p.where)
	}
}
