// Package keepers has a few servers of a fleet keep the shares of all: one log that they agree on (package agreement), one book
// of grants made of it (package shares), and the rule by which one of them may answer.
//
// This file owns one keeper: which log it belongs to, who its voters should be, which requests wait for a majority's word, and
// what is given out. It knows no socket, disk, clock or goroutine. It must never answer a request unless this server acted with
// the whole and a majority took it for leader after the request came, nor take part in a log under a number whose memory is lost.
package coordinator

import (
	"math/rand"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/consensus"
	"thistlequay/internal/quota"
	"thistlequay/timeunit"
)

// Terms are what a keeper goes by.
type Terms struct {
	Number   func(log uint64) uint64 // that of this life in a log without a disk: another life of its name has another
	Limits   []quota.Terms
	Digest   uint32   // of the limits, but for their wholes
	Revision uint64   // of its settings
	Named    []string // the keepers by name, whose logs last; none: voters of the fleet, without a disk
	Log      uint64   // the number of the log where keepers are named
}

// Most is how many keepers there are at most, where the view chooses them.
const Most = 5

// Seat is a member as far as keepers are concerned.
type Seat struct {
	Name  string
	Voter uint64 // its number in the log, 0 where it has none
	Log   uint64 // that this is of
}

// Sight is what the view says at one moment.
type Sight struct {
	Until   timeunit.Milliseconds // the server acts with the whole until then, unless it hears more; long ago where it does not
	Born    uint64                // the fleet's line without a break
	First   bool                  // the fleet is the first of its line
	Voters  []Seat                // of the fleet, in order
	Members []Seat                // that are there
}

// Identity is the number under which a keeper takes part in a log.
type Identity struct {
	Log   uint64 `cbor:"1,keyasint"`
	Voter uint64 `cbor:"2,keyasint"`
}

// Reply is what one who asked is told.
type Reply struct {
	To      uint64 // as it was asked
	Answers quota.Answers
	Granted bool
	Leader  uint64 // who else is to be asked; 0: nobody is known
}

// Output is what has come of what was heard. Save, and before it Begin, are to be durable before the rest goes out.
type Output struct {
	Begin   bool // a new memory under Identity begins with Save
	Save    consensus.Saved
	Letters []consensus.Letter
	Replies []Reply
}

type asked struct {
	to     uint64
	asking quota.Asking
}

// mostWaiting bounds the requests that wait for a majority's word.
const mostWaiting = 4096

// Core is one keeper, or a server that is none yet. It is for one goroutine at a time.
type Core struct {
	terms   Terms
	chance  *rand.Rand
	now     timeunit.Milliseconds
	sight   Sight
	id      Identity
	node    *consensus.Node
	begun   bool // Begin is due
	book    *quota.Book
	term    uint64 // that it was elected for; 0: it is not
	waiting []asked
	round   []asked // that wait for the token
	token   uint64
	put     timeunit.Milliseconds // when that was
	replies []Reply
	led     timeunit.Milliseconds // when a leader was last known, or there was no whole to lead
	gone    uint64                // the number of a memory that was given up: it is never taken again
	Agreed  int                   // entries, from the start
	Lost    int                   // memories that had to be given up
}

// New is a server that is no keeper yet.
func New(t Terms, chance *rand.Rand, now timeunit.Milliseconds) *Core {
	return &Core{terms: t, chance: chance, now: now, id: Identity{Log: t.Log}, book: quota.NewBook(t.Limits, t.Digest, t.Revision, t.Log)}
}

// Resume goes on with what was saved under an identity.
func (c *Core) Resume(id Identity, saved consensus.Saved) error { return c.begin(id, &saved, nil) }

// Begin begins a memory in a log of named keepers. First names all their numbers where the log begins with it.
func (c *Core) Begin(voter uint64, first []uint64) error {
	c.begun = true
	return c.begin(Identity{c.terms.Log, voter}, nil, first)
}

func (c *Core) begin(id Identity, saved *consensus.Saved, first []uint64) (err error) {
	c.id, c.term, c.round = id, 0, nil
	c.book = quota.NewBook(c.terms.Limits, c.terms.Digest, c.terms.Revision, c.id.Log)
	if c.node, err = consensus.New(consensus.DefaultTerms(id.Voter), saved, first, c.chance, timeunit.Milliseconds(c.now)); err != nil {
		c.node = nil
		return err
	}
	if saved != nil && len(saved.Snapshot.Data) > 0 {
		c.restore(saved.Snapshot.Data)
	}
	return nil
}

// Forget gives the memory up: this server is no keeper until it begins another.
func (c *Core) Forget() {
	c.gone = c.id.Voter
	c.node, c.term, c.round, c.id.Voter = nil, 0, nil, 0
	c.book = quota.NewBook(c.terms.Limits, c.terms.Digest, c.terms.Revision, c.id.Log)
	c.Lost++
}

// Identity is its own number; no voter where it is no keeper.
func (c *Core) Identity() Identity { return c.id }

// Book is what it knows of grants; where it does not lead that may be old.
func (c *Core) Book() *quota.Book { return c.book }

// Leads says whether it leads; Leader who does as far as it knows.
func (c *Core) Leads() bool { return c.term > 0 }
func (c *Core) Leader() uint64 {
	if c.node == nil {
		return 0
	}
	return c.node.Leader()
}

// Voters are those of its log.
func (c *Core) Voters() []uint64 {
	if c.node == nil {
		return nil
	}
	return c.node.Voters()
}

// Whole says whether the server acts with the whole at this moment.
func (c *Core) Whole() bool { return c.now < c.sight.Until }

// See takes what the view says.
func (c *Core) See(s Sight, now timeunit.Milliseconds) {
	c.now, c.sight = max(c.now, now), s
	if len(c.terms.Named) == 0 {
		c.follow()
	}
	if want := c.want(); c.node != nil && c.Whole() {
		c.node.Want(want)
	}
}

// follow takes part in the log of the fleet's line, where this server is one of its voters.
func (c *Core) follow() {
	s := &c.sight
	voters := s.Voters[:oddUpTo(min(len(s.Voters), Most))]
	number := c.terms.Number(s.Born)
	me := slices.ContainsFunc(voters, func(v Seat) bool { return v.Voter == number })
	if s.Born != 0 && s.Born != c.id.Log { // another line: what was agreed on in the last one is over
		c.node, c.term, c.round = nil, 0, nil
		c.id = Identity{Log: s.Born}
		c.book = quota.NewBook(c.terms.Limits, c.terms.Digest, c.terms.Revision, c.id.Log)
		if me && s.First {
			c.begun = true
			_ = c.begin(Identity{s.Born, number}, nil, numbers(voters))
		}
	}
	if me && c.node == nil && c.gone != number && s.Born != 0 { // its place is one that others give it
		c.begun = true
		_ = c.begin(Identity{s.Born, number}, nil, nil)
	}
}

func numbers(seats []Seat) (ids []uint64) {
	for _, s := range seats {
		ids = append(ids, s.Voter)
	}
	return ids
}

func oddUpTo(n int) int { return max(0, n-(n+1)%2) }

// want is who should vote. Of named keepers one that is not there keeps its place until it comes back, as itself or with
// its memory lost under another number.
func (c *Core) want() (ids []uint64) {
	if len(c.terms.Named) == 0 {
		return numbers(c.sight.Voters[:oddUpTo(min(len(c.sight.Voters), Most))])
	}
	missing := 0
	for _, name := range c.terms.Named {
		i := slices.IndexFunc(c.sight.Members, func(s Seat) bool { return s.Name == name && s.Voter != 0 && s.Log == c.terms.Log })
		if i < 0 {
			missing++
		} else {
			ids = append(ids, c.sight.Members[i].Voter)
		}
	}
	if c.node == nil {
		return nil
	}
	for _, id := range c.node.Voters() {
		if missing > 0 && !slices.Contains(ids, id) {
			ids = append(ids, id)
			missing--
		}
	}
	if missing > 0 { // a voter that is not known by number yet: nothing is changed
		return nil
	}
	return ids
}

// Stuck says that the log has had no leader for long though the fleet is whole: a majority of its voters has died faster than
// others could take their places. The fleet should begin another log, by a fleet that follows: what is in force by the old one
// runs out before the new one grants anything.
func (c *Core) Stuck() bool { return len(c.terms.Named) == 0 && c.now-c.led > stuckAfter }

const stuckAfter timeunit.Milliseconds = 10_000

// Letter takes a message of another keeper in the same log.
func (c *Core) Letter(from, log uint64, text []byte) {
	if c.node != nil && log == c.id.Log {
		c.node.Step(from, text)
	}
}

// Ask takes a request; the reply comes in an Output.
func (c *Core) Ask(to uint64, a quota.Asking) {
	switch {
	case c.term == 0 || !c.Whole():
		c.replies = append(c.replies, Reply{To: to, Leader: c.other()})
	case len(c.waiting) < mostWaiting:
		c.waiting = append(c.waiting, asked{to, a})
	}
}

// other is who leads, if that is not this one.
func (c *Core) other() uint64 {
	if l := c.Leader(); l != c.id.Voter {
		return l
	}
	return 0
}

const roundMost timeunit.Milliseconds = 1000 // a majority that says nothing for so long is asked anew

// At moves the time on. It is to be called some times in a tenth of a second.
func (c *Core) At(now timeunit.Milliseconds) {
	c.now = max(c.now, now)
	if c.Leader() != 0 || !c.Whole() {
		c.led = c.now
	}
	if c.node == nil {
		c.waiting = nil
		return
	}
	c.node.At(timeunit.Milliseconds(c.now))
	c.lead()
	if c.term == 0 {
		return
	}
	if len(c.round) > 0 && c.now-c.put > roundMost {
		c.round = nil
	}
	if len(c.round) == 0 && len(c.waiting) > 0 {
		if token, ok := c.node.Confirm(); ok {
			c.round, c.waiting, c.token, c.put = c.waiting, nil, token, c.now
		}
	}
	if !c.Whole() {
		return
	}
	if d, due := c.book.Decide(timeunit.Milliseconds(c.now)); due {
		text, err := cbor.Marshal(d)
		if err != nil || !c.node.Propose(text) {
			c.book.Undecided(d)
		}
	}
}

// lead finds out whether it was elected, anew or no longer.
func (c *Core) lead() {
	term := uint64(0)
	if c.node.Leads() {
		term = c.node.Term()
	}
	if term == c.term {
		return
	}
	c.term, c.round = term, nil
	c.book.Elected(term > 0, timeunit.Milliseconds(c.now))
	for _, w := range c.waiting {
		c.replies = append(c.replies, Reply{To: w.to, Leader: c.other()})
	}
	c.waiting = nil
}

// Take gives what has come of all that was heard since; more is false where there is nothing.
func (c *Core) Take() (o Output, more bool) {
	o.Replies, c.replies = c.replies, nil
	if c.node == nil {
		return o, len(o.Replies) > 0
	}
	if c.begun {
		c.begun, o.Begin, o.Save = false, true, c.node.Initial()
		return o, true
	}
	n, more := c.node.Take()
	if err := c.node.Broken(); err != nil {
		c.Forget()
		return o, len(o.Replies) > 0
	}
	if !more {
		return o, len(o.Replies) > 0
	}
	o.Save, o.Letters = n.Save, n.Letters
	if n.Restored != nil {
		c.restore(n.Restored)
	}
	for _, text := range n.Agreed {
		var d quota.Decision
		if decisions.Unmarshal(text, &d) == nil {
			c.book.Apply(d, timeunit.Milliseconds(c.now))
			c.Agreed++
		}
	}
	c.lead()
	for _, token := range n.Confirmed {
		if token != c.token || c.term == 0 || !c.Whole() {
			continue
		}
		for _, a := range c.round {
			answers, granted := c.book.Ask(a.asking, timeunit.Milliseconds(c.now))
			o.Replies = append(o.Replies, Reply{To: a.to, Answers: answers, Granted: granted, Leader: c.id.Voter})
		}
		c.round = nil
	}
	if c.node.Long() {
		if state, err := cbor.Marshal(c.book.Save()); err == nil {
			c.cutNow(state, &o)
		}
	}
	return o, true
}

// cutNow has the log begin with the state. What was to be saved before goes with it: the state is newer.
func (c *Core) cutNow(state []byte, o *Output) {
	if s, err := c.node.Cut(state); err == nil {
		o.Save.Snapshot, o.Save.Hard = s.Snapshot, s.Hard
	}
}

// decisions are read within these bounds.
var decisions = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 1 << 16, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

func (c *Core) restore(state []byte) {
	var s quota.Saved
	if len(state) > 0 && decisions.Unmarshal(state, &s) == nil {
		c.book.Restore(s, timeunit.Milliseconds(c.now))
	} else {
		c.book.Restore(quota.Saved{}, timeunit.Milliseconds(c.now))
	}
}
