package gossip

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/membership"
	"thistlequay/internal/strictcbor"
)

// Kinds of messages. The kind is the first byte of a message. The values are part of the wire format and must not
// change. Messages of an unknown kind come from a later version and are ignored.
const (
	kindStateUpdate byte = 1 // a membership.StateUpdate to all members
	kindPaxos       byte = 2 // a membership.Message to one member
	// FirstEnvelopeKind and all greater kinds are envelopes of other subsystems, each to one member.
	FirstEnvelopeKind byte = 16
)

// Maximum lengths of a message in bytes, including its kind.
const (
	maxPacketMessageBytes = 1200      // longer messages would not fit in one packet on every network
	maxEnvelopeBytes      = 256 << 10 // envelopes that do not fit in a packet are sent on a stream
)

var (
	errMalformed     = errors.New("malformed message")
	errBadSignature  = errors.New("message is not signed by the member that it names")
	errUnknownSender = errors.New("message from a member that is not known yet")
)

// signedMessage is the part of a message that follows the kind: the encoded content and its signature. AgeMs is not
// signed because members change it when they pass an update on. A wrong AgeMs can make an update look older than it is,
// but never newer than its arrival.
type signedMessage struct {
	Payload   []byte `cbor:"1,keyasint"`
	PublicKey []byte `cbor:"2,keyasint,omitempty"` // only in state updates; the receivers of other messages know it
	Signature []byte `cbor:"3,keyasint"`           // Ed25519 signature of the kind and Payload
	AgeMs     int64  `cbor:"4,keyasint,omitempty"` // age of the update when it was passed on
}

// envelope is the content of a message that another subsystem sends to one member.
type envelope struct {
	From    membership.ID `cbor:"1,keyasint"`
	To      membership.ID `cbor:"2,keyasint"`
	Payload []byte        `cbor:"3,keyasint"`
}

// nodeMetadata is the information that memberlist distributes about a member before the member's first update.
type nodeMetadata struct {
	PublicKey []byte `cbor:"1,keyasint"` // verifies the signatures of the member
	Zone      string `cbor:"2,keyasint,omitempty"`
}

// parsedMessage is a well-formed message whose signature has not been verified.
type parsedMessage struct {
	kind   byte
	signed signedMessage          // only for kindStateUpdate and kindPaxos
	update membership.StateUpdate // only for kindStateUpdate
	paxos  membership.Message     // only for kindPaxos
}

// strictDecoder decodes messages. No valid message exceeds its bounds.
var strictDecoder = strictcbor.NewDecoder(strictcbor.Bounds{
	MaxArrayElements:    64,
	MaxMapPairs:         64,
	RejectDuplicateKeys: true,
})

// maxMessageBytes returns the maximum length of a message of the given kind.
func maxMessageBytes(kind byte) int {
	if kind >= FirstEnvelopeKind {
		return maxEnvelopeBytes
	}
	return maxPacketMessageBytes
}

// encodeMessage returns the encoding of a message: its kind, followed by signed in CBOR.
func encodeMessage(kind byte, signed signedMessage) []byte {
	encoded, err := cbor.Marshal(signed)
	if err != nil {
		return nil // cannot happen: every field can be encoded
	}
	return append([]byte{kind}, encoded...)
}

// parseMessage decodes a state update or a Paxos message without verifying its signature. Of a message of another kind
// it only checks the length. The error is errMalformed.
func parseMessage(message []byte) (parsedMessage, error) {
	if len(message) < 2 || len(message) > maxMessageBytes(message[0]) {
		return parsedMessage{}, errMalformed
	}
	parsed := parsedMessage{kind: message[0]}
	var err error
	switch parsed.kind {
	case kindStateUpdate:
		err = parsed.decodeStateUpdate(message[1:])
	case kindPaxos:
		err = parsed.decodePaxos(message[1:])
	}
	return parsed, err
}

func (p *parsedMessage) decodeStateUpdate(encoded []byte) error {
	if strictDecoder.Unmarshal(encoded, &p.signed) != nil ||
		strictDecoder.Unmarshal(p.signed.Payload, &p.update) != nil ||
		len(p.signed.PublicKey) != ed25519.PublicKeySize {
		return errMalformed
	}
	p.update.AgeMs = max(0, p.signed.AgeMs) // any age in the signed content is ignored
	return nil
}

func (p *parsedMessage) decodePaxos(encoded []byte) error {
	if strictDecoder.Unmarshal(encoded, &p.signed) != nil ||
		strictDecoder.Unmarshal(p.signed.Payload, &p.paxos) != nil {
		return errMalformed
	}
	return nil
}

// nodeName returns the name of a member in memberlist: the server's name, a dot and the incarnation in hexadecimal.
func nodeName(id membership.ID) string { return id.Name + "." + formatIncarnation(id) }

func formatIncarnation(id membership.ID) string { return fmt.Sprintf("%016x", id.Incarnation) }

// parseNodeName is the inverse of nodeName. ok is false if the name does not contain a valid incarnation.
func parseNodeName(node string) (id membership.ID, ok bool) {
	dot := strings.LastIndexByte(node, '.')
	if dot <= 0 {
		return id, false
	}
	incarnation, err := strconv.ParseUint(node[dot+1:], 16, 64)
	return membership.ID{Name: node[:dot], Incarnation: incarnation}, err == nil && incarnation > 0
}
