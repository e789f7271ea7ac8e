package gossip

import (
	"bytes"
	"crypto/ed25519"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/membership"
)

// Messages are signed by the incarnation that says them, so that no member can speak for another though all share the
// cluster's encryption keys. The key of an incarnation is bound to it by its metadata or else its first update: who
// comes later with another key is not believed.

// sign encodes content and returns it signed, and as a message.
func (n *Node) sign(kind byte, content any) (signed signedMessage, message []byte) {
	payload, err := cbor.Marshal(content)
	if err != nil {
		return signed, nil // cannot be: the types are this program's own
	}
	return n.signPayload(kind, payload)
}

// signPayload is sign for content that is encoded already.
func (n *Node) signPayload(kind byte, payload []byte) (signed signedMessage, message []byte) {
	signed = signedMessage{Payload: payload, Signature: ed25519.Sign(n.privateKey, signedBytes(kind, payload))}
	if kind == kindStateUpdate {
		signed.PublicKey = n.privateKey.Public().(ed25519.PublicKey)
	}
	return signed, encodeMessage(kind, signed)
}

// signedBytes returns what a signature covers.
func signedBytes(kind byte, payload []byte) []byte { return append([]byte{kind}, payload...) }

// verify returns nil if a message is signed by the member that it names. A state update may come from a member whose
// key is not known; its own key counts then. Otherwise the error is errUnknownSender or errBadSignature.
func (n *Node) verify(kind byte, signed signedMessage, sender membership.ID) error {
	isUpdate := kind == kindStateUpdate
	key, isKnown := n.publicKeys[sender]
	if !isKnown {
		if !isUpdate {
			return errUnknownSender
		}
		key = signed.PublicKey
	}
	if isUpdate && !bytes.Equal(key, signed.PublicKey) {
		return errBadSignature
	}
	if len(signed.Signature) != ed25519.SignatureSize ||
		!ed25519.Verify(key, signedBytes(kind, signed.Payload), signed.Signature) {
		return errBadSignature
	}
	return nil
}
