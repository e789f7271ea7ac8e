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

// Kinds of messages, the first byte of each. They are on the wire and must keep their values. Other kinds are of a
// later version and are ignored.
const (
	kindStateUpdate byte = 1 // a membership.StateUpdate to everybody
	kindPaxos       byte = 2 // a membership.Message to one member
	// FirstEnvelopeKind and all kinds above are envelopes of other subsystems, each to one member.
	FirstEnvelopeKind byte = 16
)

// Limits on the length of a message in bytes, its kind included.
const (
	maxPacketMessage = 1200      // a longer message would not fit in one packet on every network
	maxEnvelope      = 256 << 10 // an envelope that does not fit in a packet goes on a stream
)

var (
	errMalformed     = errors.New("malformed message")
	errBadSignature  = errors.New("the message is not signed by the member it names")
	errUnknownSender = errors.New("the message is of a member that is not known yet")
)

// signedMessage is what follows the kind: content and signature. AgeMs changes on the way and is not signed. By it an
// update can be made to look older than it is, never newer than when it came.
type signedMessage struct {
	Payload   []byte `cbor:"1,keyasint"`
	PublicKey []byte `cbor:"2,keyasint,omitempty"` // only in state updates: for others it is known
	Signature []byte `cbor:"3,keyasint"`           // of the kind and Payload, by Ed25519
	AgeMs     int64  `cbor:"4,keyasint,omitempty"`
}

// envelope is the content of a message of another subsystem to one member.
type envelope struct {
	From    membership.ID `cbor:"1,keyasint"`
	To      membership.ID `cbor:"2,keyasint"`
	Payload []byte        `cbor:"3,keyasint"`
}

// nodeMetadata is what memberlist tells others of a member before its first update.
type nodeMetadata struct {
	PublicKey []byte `cbor:"1,keyasint"` // that its messages are signed by
	Zone      string `cbor:"2,keyasint,omitempty"`
}

// parsedMessage is a message whose form is valid. Its signature has not been verified.
type parsedMessage struct {
	kind   byte
	signed signedMessage          // only of kindStateUpdate and kindPaxos
	update membership.StateUpdate // only of kindStateUpdate
	paxos  membership.Message     // only of kindPaxos
}

// strictDecoder decodes messages, within bounds that no valid one exceeds.
var strictDecoder = strictcbor.NewDecoder(strictcbor.Bounds{
	MaxArrayElements:    64,
	MaxMapPairs:         64,
	RejectDuplicateKeys: true,
})

// maxMessageBytes returns how long a message of a kind may be.
func maxMessageBytes(kind byte) int {
	if kind >= FirstEnvelopeKind {
		return maxEnvelope
	}
	return maxPacketMessage
}

// encodeMessage returns the bytes of a message.
func encodeMessage(kind byte, signed signedMessage) []byte {
	encoded, err := cbor.Marshal(signed)
	if err != nil {
		return nil // cannot be: the type has no field that fails
	}
	return append([]byte{kind}, encoded...)
}

// parseMessage decodes state updates and Paxos messages as far as no key is needed. Of other kinds it only checks the
// length. The error is errMalformed.
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
	p.update.AgeMs = max(0, p.signed.AgeMs) // not what its sender signed
	return nil
}

func (p *parsedMessage) decodePaxos(encoded []byte) error {
	if strictDecoder.Unmarshal(encoded, &p.signed) != nil ||
		strictDecoder.Unmarshal(p.signed.Payload, &p.paxos) != nil {
		return errMalformed
	}
	return nil
}

// nodeName returns the name of a member in memberlist: the server's name, a dot and the incarnation.
func nodeName(id membership.ID) string { return id.Name + "." + formatIncarnation(id) }

func formatIncarnation(id membership.ID) string { return fmt.Sprintf("%016x", id.Incarnation) }

// parseNodeName is the inverse of nodeName.
func parseNodeName(node string) (id membership.ID, ok bool) {
	dot := strings.LastIndexByte(node, '.')
	if dot <= 0 {
		return id, false
	}
	incarnation, err := strconv.ParseUint(node[dot+1:], 16, 64)
	return membership.ID{Name: node[:dot], Incarnation: incarnation}, err == nil && incarnation > 0
}
