package gossip

// This file owns messages: words and notes as bytes, sealed by the life that says them, so that a member cannot speak for
// another though all share the fleet's keys. It must never take a word or a note under another life's name, nor anything
// longer than its bound apart.

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/membership"
)

// What a message is, by its first byte. Others are of a later version and are passed over.
const (
	wordMessage byte = 1
	noteMessage byte = 2
	// FirstMail and all above are letters of other subsystems, each to one member.
	FirstMail byte = 16
)

// letter is what another subsystem says to one member.
type letter struct {
	From membership.ID `cbor:"1,keyasint"`
	To   membership.ID `cbor:"2,keyasint"`
	Text []byte        `cbor:"3,keyasint"`
}

// sealed is one message: what was said and who vouches for it. Its age changes on its way and is not sealed; a word can be
// made to look older by that, never newer than when it came.
type sealed struct {
	Text  []byte `cbor:"1,keyasint"`
	Key   []byte `cbor:"2,keyasint,omitempty"` // in words; of notes it is known
	Sign  []byte `cbor:"3,keyasint"`
	AgeMs int64  `cbor:"4,keyasint,omitempty"`
}

var (
	errMessage = errors.New("no message of the peers")
	errForged  = errors.New("a message under another's name")
	errUnknown = errors.New("a note of a life that was not heard of")
)

// understood are the limits within which a message is taken apart.
var understood = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// seal makes a message of what this life says.
func (p *Peers) seal(kind byte, v any) (s sealed, message []byte) {
	text, err := cbor.Marshal(v)
	if err != nil { // the types are ours: it cannot be
		return s, nil
	}
	return p.sealText(kind, text)
}

func (p *Peers) sealText(kind byte, text []byte) (s sealed, message []byte) {
	s = sealed{Text: text, Sign: ed25519.Sign(p.secret, append([]byte{kind}, text...))}
	if kind == wordMessage {
		s.Key = p.secret.Public().(ed25519.PublicKey)
	}
	return s, encode(kind, s)
}

func encode(kind byte, s sealed) []byte {
	text, err := cbor.Marshal(s)
	if err != nil {
		return nil
	}
	return append([]byte{kind}, text...)
}

// open takes a message apart as far as no key is needed; a kind of 0 is one that this version does not know.
func open(message []byte) (kind byte, s sealed, w membership.Word, n membership.Note, err error) {
	if len(message) < 2 || len(message) > mostOf(message[0]) {
		return 0, s, w, n, errMessage
	}
	kind = message[0]
	if kind != wordMessage && kind != noteMessage {
		return 0, s, w, n, nil
	}
	if err = understood.Unmarshal(message[1:], &s); err != nil {
		return 0, s, w, n, errMessage
	}
	if kind == wordMessage {
		err = understood.Unmarshal(s.Text, &w)
		w.AgeMs = max(0, s.AgeMs)
		if len(s.Key) != ed25519.PublicKeySize {
			err = errMessage
		}
	} else {
		err = understood.Unmarshal(s.Text, &n)
	}
	if err != nil {
		return 0, s, w, n, errMessage
	}
	return kind, s, w, n, nil
}

func mostOf(kind byte) int {
	if kind >= FirstMail {
		return mostMail
	}
	return mostMessage
}

// mail takes a letter apart that came, and gives it to the subsystem that it is for.
func (p *Peers) mail(message []byte) {
	to := p.terms.Mail[message[0]]
	var s sealed
	var l letter
	switch {
	case to == nil: // of a later version, or of what is off here
	case understood.Unmarshal(message[1:], &s) != nil || understood.Unmarshal(s.Text, &l) != nil:
		p.Garbled.Add(1)
	case l.To != p.terms.Members.Me:
	default:
		switch p.vouched(message[0], s, l.From) {
		case nil:
			to(l.From, l.Text)
		case errUnknown:
			p.view.Counts.Unknown++
		default:
			p.view.Counts.Foreign++
		}
	}
}

// vouched says whether a message is of the life that it names: of the key on its card, or else in its first word.
func (p *Peers) vouched(kind byte, s sealed, id membership.ID) error {
	key, known := p.keys[id]
	if !known {
		if kind != wordMessage {
			return errUnknown
		}
		key = s.Key
	}
	if kind == wordMessage && !bytes.Equal(key, s.Key) || len(s.Sign) != ed25519.SignatureSize ||
		!ed25519.Verify(key, append([]byte{kind}, s.Text...), s.Sign) {
		return errForged
	}
	return nil
}

// hear takes a message that came, on the worker. It gives a word, and says whether that was news.
func (p *Peers) hear(message []byte) (w membership.Word, news bool) {
	kind, s, w, n, err := open(message)
	if err != nil {
		p.Garbled.Add(1)
		return w, false
	}
	if kind == 0 && len(message) > 1 && message[0] >= FirstMail {
		p.mail(message)
		return w, false
	}
	switch kind {
	case noteMessage:
		if n.To != p.terms.Members.Me {
			return w, false
		}
		switch p.vouched(kind, s, n.From) {
		case nil:
			p.accord.Take(n)
		case errUnknown: // it may be on its way
			p.view.Counts.Unknown++
		default:
			p.view.Counts.Foreign++
		}
	case wordMessage:
		if w.ID == p.terms.Members.Me {
			return w, false
		}
		if p.view.Member(w.ID) == nil && !p.joined[w.ID] {
			return w, false // words of the dead go on for a while: who is there the library tells first
		}
		if m := p.view.Member(w.ID); m != nil && w.Seq <= m.Seq && m.Seq > 0 {
			p.view.Counts.Old++ // most come by several ways: those are not looked at closely
			return w, false
		}
		if p.vouched(kind, s, w.ID) != nil {
			p.view.Counts.Foreign++
			return w, false
		}
		if p.view.Hear(w) {
			p.keys[w.ID], p.words[w.ID] = s.Key, s
			if p.terms.Used != nil && len(w.Used) > 0 {
				p.terms.Used(w.ID, time.Duration(w.AgeMs)*time.Millisecond, w.Used)
			}
			return w, true
		}
	}
	return w, false
}

// tidy forgets keys and words of lives that the view has dropped.
func (p *Peers) tidy() {
	for id := range p.keys {
		if p.view.Member(id) == nil {
			delete(p.keys, id)
			delete(p.words, id)
		}
	}
}
