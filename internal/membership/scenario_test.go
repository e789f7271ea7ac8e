package membership

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"thistlequay/internal/scenario"
	"thistlequay/timeunit"
)

// TestScenarios plays the scenario files; testdata/README.md explains their notation.
func TestScenarios(t *testing.T) {
	for _, file := range scenario.Files(t) {
		t.Run(filepath.Base(file), func(t *testing.T) {
			playScenario(t, file, func(*player) {})
		})
	}
}

// playScenario plays a scenario file and calls done after each line.
func playScenario(t *testing.T, file string, done func(*player)) {
	p := &player{Assertions: require.New(t), sequences: map[ID]uint64{}}
	for _, step := range scenario.Steps(t, file) {
		p.where = step.Where
		p.play(step.Words[0], step.Words[1:])
		done(p)
	}
}

// player executes the lines of one scenario.
type player struct {
	*require.Assertions
	view      *View
	agreement *Agreement
	sequences map[ID]uint64 // last sequence number of each member
	where     string        // file, line and text, for failure messages
}

func (p *player) play(verb string, args []string) {
	switch verb {
	case "self":
		p.start(p.id(args[0]), p.options(args[1:]))
	case "at":
		p.tickAt(timeunit.Milliseconds(p.number(args[0])))
	case "pass":
		for end := p.view.now + timeunit.Milliseconds(p.number(args[0])); p.view.now < end; {
			p.tickAt(p.view.now + 200)
		}
	case "update":
		p.view.ApplyUpdate(p.update(args))
	case "probe-succeeded":
		p.view.ProbeSucceeded(p.id(args[0]), 10)
	case "probe-failed":
		p.view.RecordProbeFailure(p.id(args[0]))
	case "suspected":
		p.view.RecordSuspicion(p.id(args[0]))
	case "failed":
		p.view.RecordFailure(p.id(args[0]))
	case "refuted":
		p.view.Refuted(p.id(args[0]))
	case "left":
		p.view.RecordLeave(p.id(args[0]))
	case "dial":
		p.view.DialFinished(p.id(args[0]), p.dialResult(args[1]))
	case "committed":
		p.commit(p.number(args[0]), args[1:])
	case "granted":
		p.grant(args)
	default:
		p.check(verb, args)
	}
}

func (p *player) start(self ID, options map[string]string) {
	config := DefaultConfig(self)
	if text := options["servers"]; text != "" {
		config.InitialSize = int(p.number(text))
	}
	config.Founders = strings.Split(options["founders"], ",")
	p.view = NewView(config, 0)
	p.agreement = NewAgreement(p.view)
	p.view.UpdateSelf(StateUpdate{Address: "here", State: StateServing})
}

func (p *player) tickAt(now timeunit.Milliseconds) {
	p.view.Advance(now, 200)
	p.agreement.Tick()
	p.view.Tick(p.agreement.QuorumStatus())
}

func (p *player) update(args []string) StateUpdate {
	id := p.id(args[0])
	options := p.options(args[2:])
	p.sequences[id]++
	update := StateUpdate{
		ID:       id,
		Sequence: p.sequences[id],
		Address:  "a-" + id.Name,
		State:    p.state(args[1]),
		Zone:     options["zone"],
	}
	numbers := map[string]*int64{"paused": &update.PausedMs, "lag": &update.LoopLagMs, "age": &update.AgeMs}
	for key, field := range numbers {
		if options[key] != "" {
			*field = p.number(options[key])
		}
	}
	if options["address"] != "" {
		update.Address = options["address"]
	}
	if options["sequence"] != "" {
		update.Sequence = uint64(p.number(options["sequence"]))
	}
	if options["unreachable"] != "" {
		update.Unreachable = strings.Split(options["unreachable"], ",")
	}
	return update
}

func (p *player) commit(epoch int64, voters []string) {
	c := Configuration{Epoch: uint64(epoch), LeaseDuration: 1500, MemberCount: len(voters)}
	for _, text := range voters {
		id := p.id(text)
		c.Voters = append(c.Voters, Voter{id, "a-" + id.Name})
	}
	p.agreement.Step(Message{Kind: MessageCommitted, Epoch: c.Epoch, Configuration: &c})
}

func (p *player) grant(voters []string) {
	for _, text := range voters {
		p.agreement.Step(Message{
			Kind:        MessageLeaseGrant,
			From:        p.id(text),
			Epoch:       p.agreement.configuration.Epoch,
			RequestedAt: p.view.now,
		})
	}
}

// check executes the lines that state what must hold.
func (p *player) check(verb string, args []string) {
	switch verb {
	case "is":
		m := p.view.Member(p.id(args[0]))
		p.NotNil(m, p.where)
		p.Equal(strings.Join(args[1:], " "), strings.TrimSpace(m.State.String()+" "+m.Cause.String()), p.where)
	case "unknown":
		p.Nil(p.view.Member(p.id(args[0])), p.where)
	case "owner":
		id, known := p.view.NameOwner(args[0])
		p.True(known, p.where)
		p.Equal(args[1], fmt.Sprint(id.Name, ".", id.Incarnation), p.where)
	case "size":
		p.Equal(p.number(args[0]), int64(p.view.EffectiveSize()), p.where)
	case "status":
		p.Equal(args[0], p.agreement.QuorumStatus().String(), p.where)
	case "counts":
		c := p.view.Counts
		counts := map[string]int{
			"invalid":         c.Invalid,
			"stale":           c.Stale,
			"false-positives": c.FalsePositives,
			"name-conflicts":  c.NameConflicts,
		}
		for key, value := range p.options(args) {
			p.Contains(counts, key, p.where)
			p.Equal(p.number(value), int64(counts[key]), p.where)
		}
	default:
		p.FailNow(p.where)
	}
}

func (p *player) number(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	p.NoError(err, p.where)
	return n
}

func (p *player) id(text string) ID {
	name, incarnation, found := strings.Cut(text, ".")
	p.True(found, p.where)
	return ID{name, uint64(p.number(incarnation))}
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

func (p *player) dialResult(text string) DialResult {
	results := map[string]DialResult{"refused": DialRefused, "accepted": DialAccepted, "timed-out": DialTimedOut}
	p.Contains(results, text, p.where)
	return results[text]
}

// options parses the words of a line that have the form key=value.
func (p *player) options(words []string) map[string]string {
	options := map[string]string{}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		options[key] = value
	}
	return options
}
