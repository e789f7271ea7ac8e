// Package tenancy determines the tenant of a request from the client's address: the tenant of the longest network
// prefix that contains it.
//
// It does no I/O. A client address that is passed on a connection counts only if the connection comes from a trusted
// proxy.
package tenancy

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// Table maps networks to tenants. It must be filled before it is used; lookups are safe for concurrent use after that.
type Table struct {
	networks        bart.Table[string]
	trustedProxies  bart.Lite
	unmatchedTenant string
}

// New returns an empty table. All clients whose address is in no network of the table belong to unmatchedTenant.
func New(unmatchedTenant string) *Table { return &Table{unmatchedTenant: unmatchedTenant} }

// mappedPrefixBits is the number of bits before the IPv4 address in an IPv4-mapped IPv6 address (RFC 4291, section
// 2.5.5.2).
const mappedPrefixBits = 96

// Normalize returns a prefix in the form that the table stores: masked, and converted to IPv4 if it is IPv4-mapped
// IPv6.
func Normalize(prefix netip.Prefix) netip.Prefix {
	if address := prefix.Addr(); address.Is4In6() && prefix.Bits() >= mappedPrefixBits {
		return netip.PrefixFrom(address.Unmap(), prefix.Bits()-mappedPrefixBits).Masked()
	}
	return prefix.Masked()
}

// AddNetwork assigns the addresses in a prefix to a tenant, except those in a longer prefix of the table. The prefix is
// normalized (see Normalize). If the table already contains it, the new tenant replaces the old one.
func (t *Table) AddNetwork(prefix netip.Prefix, tenant string) {
	t.networks.Insert(Normalize(prefix), tenant)
}

// TrustProxies makes Lookup accept the client addresses that proxies in a prefix pass on.
func (t *Table) TrustProxies(prefix netip.Prefix) { t.trustedProxies.Insert(Normalize(prefix)) }

// Lookup returns the tenant of a request. peer is the address of the other end of the connection. remote is the client
// address that the peer passes on (REMOTE_ADDR); it is used only if the peer is a trusted proxy, otherwise the peer is
// the client. If a trusted proxy passes on no valid address, the request belongs to the unmatched tenant and not to the
// tenant of the proxy's own network.
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
