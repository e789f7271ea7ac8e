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

// playScenario plays a scenario file and calls afterLine after each line.
func playScenario(t *testing.T, file string, afterLine func(*player)) {
	p := &player{Assertions: require.New(t), sequences: map[ID]uint64{}}
	for _, step := range scenario.Steps(t, file) {
		p.position = step.Where
		p.play(step.Words[0], step.Words[1:])
		afterLine(p)
	}
}

// player executes the lines of one scenario.
type player struct {
	*require.Assertions
	view      *View
	agreement *Agreement
	sequences map[ID]uint64 // last sequence number of each member
	position  string        // file, line and text, for failure messages
}

func (p *player) play(verb string, args []string) {
	switch verb {
	case "self":
		p.start(p.parseID(args[0]), p.parseOptions(args[1:]))
	case "at":
		p.tickAt(timeunit.Milliseconds(p.parseNumber(args[0])))
	case "pass":
		for end := p.view.now + timeunit.Milliseconds(p.parseNumber(args[0])); p.view.now < end; {
			p.tickAt(p.view.now + 200)
		}
	case "update":
		p.view.ApplyUpdate(p.parseUpdate(args))
	case "probe-succeeded":
		p.view.ProbeSucceeded(p.parseID(args[0]), 10)
	case "probe-failed":
		p.view.RecordProbeFailure(p.parseID(args[0]))
	case "suspected":
		p.view.RecordSuspicion(p.parseID(args[0]))
	case "failed":
		p.view.RecordFailure(p.parseID(args[0]))
	case "refuted":
		p.view.Refuted(p.parseID(args[0]))
	case "left":
		p.view.RecordLeave(p.parseID(args[0]))
	case "dial":
		p.view.DialFinished(p.parseID(args[0]), p.parseDialResult(args[1]))
	case "committed":
		p.commit(p.parseNumber(args[0]), args[1:])
	case "granted":
		p.grant(args)
	default:
		p.check(verb, args)
	}
}

func (p *player) start(self ID, options map[string]string) {
	config := DefaultConfig(self)
	if text := options["servers"]; text != "" {
		config.InitialSize = int(p.parseNumber(text))
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

func (p *player) parseUpdate(args []string) StateUpdate {
	id := p.parseID(args[0])
	options := p.parseOptions(args[2:])
	p.sequences[id]++
	update := StateUpdate{
		ID:       id,
		Sequence: p.sequences[id],
		Address:  "a-" + id.Name,
		State:    p.parseState(args[1]),
		Zone:     options["zone"],
	}
	numbers := map[string]*int64{"paused": &update.PausedMs, "lag": &update.LoopLagMs, "age": &update.AgeMs}
	for key, field := range numbers {
		if options[key] != "" {
			*field = p.parseNumber(options[key])
		}
	}
	if options["address"] != "" {
		update.Address = options["address"]
	}
	if options["sequence"] != "" {
		update.Sequence = uint64(p.parseNumber(options["sequence"]))
	}
	if options["unreachable"] != "" {
		update.Unreachable = strings.Split(options["unreachable"], ",")
	}
	return update
}

func (p *player) commit(epoch int64, voters []string) {
	c := Configuration{Epoch: uint64(epoch), LeaseDuration: 1500, MemberCount: len(voters)}
	for _, text := range voters {
		id := p.parseID(text)
		c.Voters = append(c.Voters, Voter{id, "a-" + id.Name})
	}
	p.agreement.Step(Message{Kind: MessageCommitted, Epoch: c.Epoch, Configuration: &c})
}

func (p *player) grant(voters []string) {
	for _, text := range voters {
		p.agreement.Step(Message{
			Kind:        MessageLeaseGrant,
			From:        p.parseID(text),
			Epoch:       p.agreement.configuration.Epoch,
			RequestedAt: p.view.now,
		})
	}
}

// check executes the lines that state what must hold.
func (p *player) check(verb string, args []string) {
	switch verb {
	case "is":
		m := p.view.Member(p.parseID(args[0]))
		p.NotNil(m, p.position)
		p.Equal(strings.Join(args[1:], " "), strings.TrimSpace(m.State.String()+" "+m.Cause.String()), p.position)
	case "unknown":
		p.Nil(p.view.Member(p.parseID(args[0])), p.position)
	case "owner":
		id, known := p.view.NameOwner(args[0])
		p.True(known, p.position)
		p.Equal(args[1], fmt.Sprint(id.Name, ".", id.Incarnation), p.position)
	case "size":
		p.Equal(p.parseNumber(args[0]), int64(p.view.EffectiveSize()), p.position)
	case "status":
		p.Equal(args[0], p.agreement.QuorumStatus().String(), p.position)
	case "counts":
		c := p.view.Counts
		counts := map[string]int{
			"invalid":         c.Invalid,
			"stale":           c.Stale,
			"false-positives": c.FalsePositives,
			"name-conflicts":  c.NameConflicts,
		}
		for key, value := range p.parseOptions(args) {
			p.Contains(counts, key, p.position)
			p.Equal(p.parseNumber(value), int64(counts[key]), p.position)
		}
	default:
		p.FailNow(p.position)
	}
}

func (p *player) parseNumber(text string) int64 {
	n, err := strconv.ParseInt(text, 10, 64)
	p.NoError(err, p.position)
	return n
}

func (p *player) parseID(text string) ID {
	name, incarnation, found := strings.Cut(text, ".")
	p.True(found, p.position)
	return ID{name, uint64(p.parseNumber(incarnation))}
}

func (p *player) parseState(text string) State {
	for i, name := range StateNames {
		if name == text {
			return State(i)
		}
	}
	p.FailNow(p.position)
	return 0
}

func (p *player) parseDialResult(text string) DialResult {
	results := map[string]DialResult{"refused": DialRefused, "accepted": DialAccepted, "timed-out": DialTimedOut}
	p.Contains(results, text, p.position)
	return results[text]
}

// parseOptions parses the words of a line that have the form key=value.
func (p *player) parseOptions(words []string) map[string]string {
	options := map[string]string{}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		options[key] = value
	}
	return options
}
