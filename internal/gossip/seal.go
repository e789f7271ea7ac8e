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
	kindStateUpdate byte = 1
	kindPaxos       byte = 2
	// FirstMail and all above are letters of other subsystems, each to one member.
	FirstEnvelopeKind byte = 16
)

// envelope is what another subsystem says to one member.
type envelope struct {
	From    membership.ID `cbor:"1,keyasint"`
	To      membership.ID `cbor:"2,keyasint"`
	Payload []byte        `cbor:"3,keyasint"`
}

// signedMessage is one message: what was said and who vouches for it. Its age changes on its way and is not sealed; a word can be
// made to look older by that, never newer than when it came.
type signedMessage struct {
	Payload   []byte `cbor:"1,keyasint"`
	PublicKey []byte `cbor:"2,keyasint,omitempty"` // in words; of notes it is known
	Signature []byte `cbor:"3,keyasint"`
	AgeMs     int64  `cbor:"4,keyasint,omitempty"`
}

var (
	errMalformed     = errors.New("no message of the peers")
	errBadSignature  = errors.New("a message under another's name")
	errUnknownSender = errors.New("a note of a life that was not heard of")
)

// strictDecoder are the limits within which a message is taken apart.
var strictDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 64, MaxMapPairs: 64, MaxNestedLevels: 8, DupMapKey: cbor.DupMapKeyEnforcedAPF,
		IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// sign makes a message of what this life says.
func (p *Node) sign(kind byte, v any) (s signedMessage, message []byte) {
	text, err := cbor.Marshal(v)
	if err != nil { // the types are ours: it cannot be
		return s, nil
	}
	return p.signPayload(kind, text)
}

func (p *Node) signPayload(kind byte, text []byte) (s signedMessage, message []byte) {
	s = signedMessage{Payload: text, Signature: ed25519.Sign(p.privateKey, append([]byte{kind}, text...))}
	if kind == kindStateUpdate {
		s.PublicKey = p.privateKey.Public().(ed25519.PublicKey)
	}
	return s, encodeMessage(kind, s)
}

func encodeMessage(kind byte, s signedMessage) []byte {
	text, err := cbor.Marshal(s)
	if err != nil {
		return nil
	}
	return append([]byte{kind}, text...)
}

// parseMessage takes a message apart as far as no key is needed; a kind of 0 is one that this version does not know.
func parseMessage(message []byte) (kind byte, s signedMessage, w membership.StateUpdate, n membership.Message, err error) {
	if len(message) < 2 || len(message) > maxMessageBytes(message[0]) {
		return 0, s, w, n, errMalformed
	}
	kind = message[0]
	if kind != kindStateUpdate && kind != kindPaxos {
		return 0, s, w, n, nil
	}
	if err = strictDecoder.Unmarshal(message[1:], &s); err != nil {
		return 0, s, w, n, errMalformed
	}
	if kind == kindStateUpdate {
		err = strictDecoder.Unmarshal(s.Payload, &w)
		w.AgeMs = max(0, s.AgeMs)
		if len(s.PublicKey) != ed25519.PublicKeySize {
			err = errMalformed
		}
	} else {
		err = strictDecoder.Unmarshal(s.Payload, &n)
	}
	if err != nil {
		return 0, s, w, n, errMalformed
	}
	return kind, s, w, n, nil
}

func maxMessageBytes(kind byte) int {
	if kind >= FirstEnvelopeKind {
		return maxEnvelope
	}
	return maxPacketMessage
}

// handleEnvelope takes a letter apart that came, and gives it to the subsystem that it is for.
func (p *Node) handleEnvelope(message []byte) {
	to := p.config.Handlers[message[0]]
	var s signedMessage
	var l envelope
	switch {
	case to == nil: // of a later version, or of what is off here
	case strictDecoder.Unmarshal(message[1:], &s) != nil || strictDecoder.Unmarshal(s.Payload, &l) != nil:
		p.Malformed.Add(1)
	case l.To != p.config.Membership.Self:
	default:
		switch p.verify(message[0], s, l.From) {
		case nil:
			to(l.From, l.Payload)
		case errUnknownSender:
			p.view.Counts.UnknownSender++
		default:
			p.view.Counts.Forged++
		}
	}
}

// verify says whether a message is of the life that it names: of the key on its card, or else in its first word.
func (p *Node) verify(kind byte, s signedMessage, id membership.ID) error {
	key, known := p.publicKeys[id]
	if !known {
		if kind != kindStateUpdate {
			return errUnknownSender
		}
		key = s.PublicKey
	}
	if kind == kindStateUpdate && !bytes.Equal(key, s.PublicKey) || len(s.Signature) != ed25519.SignatureSize ||
		!ed25519.Verify(key, append([]byte{kind}, s.Payload...), s.Signature) {
		return errBadSignature
	}
	return nil
}

// receive takes a message that came, on the worker. It gives a word, and says whether that was news.
func (p *Node) receive(message []byte) (w membership.StateUpdate, news bool) {
	kind, s, w, n, err := parseMessage(message)
	if err != nil {
		p.Malformed.Add(1)
		return w, false
	}
	if kind == 0 && len(message) > 1 && message[0] >= FirstEnvelopeKind {
		p.handleEnvelope(message)
		return w, false
	}
	switch kind {
	case kindPaxos:
		if n.To != p.config.Membership.Self {
			return w, false
		}
		switch p.verify(kind, s, n.From) {
		case nil:
			p.agreement.Step(n)
		case errUnknownSender: // it may be on its way
			p.view.Counts.UnknownSender++
		default:
			p.view.Counts.Forged++
		}
	case kindStateUpdate:
		if w.ID == p.config.Membership.Self {
			return w, false
		}
		if p.view.Member(w.ID) == nil && !p.joined[w.ID] {
			return w, false // words of the dead go on for a while: who is there the library tells first
		}
		if m := p.view.Member(w.ID); m != nil && w.Sequence <= m.Sequence && m.Sequence > 0 {
			p.view.Counts.Stale++ // most come by several ways: those are not looked at closely
			return w, false
		}
		if p.verify(kind, s, w.ID) != nil {
			p.view.Counts.Forged++
			return w, false
		}
		if p.view.ApplyUpdate(w) {
			p.publicKeys[w.ID], p.signedUpdates[w.ID] = s.PublicKey, s
			if p.config.OnUsage != nil && len(w.Usage) > 0 {
				p.config.OnUsage(w.ID, time.Duration(w.AgeMs)*time.Millisecond, w.Usage)
			}
			return w, true
		}
	}
	return w, false
}

// forgetDroppedMembers forgets keys and words of lives that the view has dropped.
func (p *Node) forgetDroppedMembers() {
	for id := range p.publicKeys {
		if p.view.Member(id) == nil {
			delete(p.publicKeys, id)
			delete(p.signedUpdates, id)
		}
	}
}
