package gossip

import (
	"bytes"
	"crypto/ed25519"

	"github.com/fxamacker/cbor/v2"

	"thistlequay/internal/membership"
)

// Messages are signed by the incarnation that sends them, so that no member can impersonate another although all share
// the cluster's encryption keys. The public key of an incarnation is bound to it by its metadata or, if that has none,
// by its first update. Later messages that are signed with another key are rejected.

// sign encodes and signs content. It returns the signed content and the complete message that contains it.
func (n *Node) sign(kind byte, content any) (signed signedMessage, message []byte) {
	payload, err := cbor.Marshal(content)
	if err != nil {
		return signed, nil // cannot happen: all content types can be encoded
	}
	return n.signPayload(kind, payload)
}

// signPayload is like sign, for content that is already encoded.
func (n *Node) signPayload(kind byte, payload []byte) (signed signedMessage, message []byte) {
	signed = signedMessage{Payload: payload, Signature: ed25519.Sign(n.privateKey, signedBytes(kind, payload))}
	if kind == kindStateUpdate {
		signed.PublicKey = n.privateKey.Public().(ed25519.PublicKey)
	}
	return signed, encodeMessage(kind, signed)
}

// signedBytes returns the bytes that a signature covers: the kind and the payload. The kind is covered so that a
// payload signed as one kind of message is not accepted as another kind.
func signedBytes(kind byte, payload []byte) []byte { return append([]byte{kind}, payload...) }

// verify returns nil if a message is signed by sender. A state update from a sender whose key is not known yet is
// verified with the key that it contains. Otherwise the error is errUnknownSender or errBadSignature.
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
