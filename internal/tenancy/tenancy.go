// Package tenancy finds the tenant of a request by the network it comes from: the longest prefix that contains the
// client's address.
//
// It does no I/O. What a connection says about its client counts only if the connection comes from a trusted proxy.
package tenancy

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// Table maps networks to tenants. It is filled first and then only read; reading is safe for concurrent use.
type Table struct {
	networks        bart.Table[string]
	trustedProxies  bart.Lite
	unmatchedTenant string
}

// New returns an empty table. All clients in no network of the table belong to unmatchedTenant together.
func New(unmatchedTenant string) *Table { return &Table{unmatchedTenant: unmatchedTenant} }

// Bits of a prefix of IPv4 addresses mapped into IPv6 that stand in front of the IPv4 address (RFC 4291, 2.5.5.2).
const mappedPrefixBits = 96

// Normalize returns a prefix as the table keeps it: masked, and IPv4 addresses mapped into IPv6 as IPv4.
func Normalize(prefix netip.Prefix) netip.Prefix {
	if address := prefix.Addr(); address.Is4In6() && prefix.Bits() >= mappedPrefixBits {
		return netip.PrefixFrom(address.Unmap(), prefix.Bits()-mappedPrefixBits).Masked()
	}
	return prefix.Masked()
}

// AddNetwork assigns the addresses under a prefix to a tenant, but for those under a longer prefix of the table.
func (t *Table) AddNetwork(prefix netip.Prefix, tenant string) {
	t.networks.Insert(Normalize(prefix), tenant)
}

// TrustProxies makes the table believe what the proxies under a prefix say about their clients.
func (t *Table) TrustProxies(prefix netip.Prefix) { t.trustedProxies.Insert(Normalize(prefix)) }

// Lookup returns the tenant of a request. The peer is the other end of the connection; remote is the client's address
// as the connection says (REMOTE_ADDR), which counts only if the peer is a trusted proxy. Otherwise the peer is the
// client. Requests of a trusted proxy that gives no readable address belong to the unmatched tenant and not to the
// proxy's.
func (t *Table) Lookup(peer netip.Addr, remote []byte) string {
	client := peer.Unmap()
	if t.trustedProxies.Contains(client) {
		address, err := netip.ParseAddr(string(remote))
		if err != nil {
			return t.unmatchedTenant
		}
		client = address.Unmap().WithZone("")
	}
	if tenant, found := t.networks.Lookup(client); found {
		return tenant
	}
	return t.unmatchedTenant
}
