// Package tenancy tells whose a request is by where it comes from: the longest prefix that holds the client's address.
//
// It owns the table of networks and of the fronts whose word on a client is believed. It does no I/O and must never
// believe an address that a connection without trust brings.
package tenancy

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// Table is built once and then only read.
type Table struct {
	networks        bart.Table[string]
	trustedProxies  bart.Lite
	unmatchedTenant string
}

// New makes an empty table. What no prefix holds is of the tenant named here, all together.
func New(unmatched string) *Table { return &Table{unmatchedTenant: unmatched} }

// Normalize is a prefix as the table keeps it: addresses of the fourth version mapped into the sixth are of the fourth.
func Normalize(p netip.Prefix) netip.Prefix {
	if a := p.Addr(); a.Is4In6() && p.Bits() >= 96 {
		return netip.PrefixFrom(a.Unmap(), p.Bits()-96).Masked()
	}
	return p.Masked()
}

// AddNetwork has a tenant own the addresses under a prefix, but for those under a longer one.
func (t *Table) AddNetwork(p netip.Prefix, tenant string) { t.networks.Insert(Normalize(p), tenant) }

// TrustProxies has the word of the fronts under a prefix believed.
func (t *Table) TrustProxies(p netip.Prefix) { t.trustedProxies.Insert(Normalize(p)) }

// Lookup tells whose a request is. Peer is the other end of the connection; remote is what the front says of the client
// (REMOTE_ADDR), which counts only from a trusted front. Without such word the peer itself is the client; a front that
// is trusted and says nothing that can be read has its request booked with what nothing matches.
func (t *Table) Lookup(peer netip.Addr, remote []byte) string {
	client := peer.Unmap()
	if t.trustedProxies.Contains(client) {
		a, err := netip.ParseAddr(string(remote))
		if err != nil {
			return t.unmatchedTenant
		}
		client = a.Unmap().WithZone("")
	}
	if tenant, found := t.networks.Lookup(client); found {
		return tenant
	}
	return t.unmatchedTenant
}
