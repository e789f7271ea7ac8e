package tenancy

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestLongestPrefixDecidesTenant checks that a request belongs to the tenant of the longest prefix that contains the
// peer's address, or the client address if the peer is a trusted proxy.
func TestLongestPrefixDecidesTenant(t *testing.T) {
	table := New("elsewhere")
	for prefix, tenant := range map[string]string{
		"10.0.0.0/8":           "wide",
		"10.1.0.0/16":          "narrow",
		"10.1.2.3/32":          "one",
		"2001:db8::/32":        "six",
		"2001:db8:1::/48":      "six-narrow",
		"::ffff:192.0.2.0/120": "mapped",
	} {
		table.AddNetwork(netip.MustParsePrefix(prefix), tenant)
	}
	table.TrustProxies(netip.MustParsePrefix("127.0.0.0/8"))
	table.TrustProxies(netip.MustParsePrefix("::1/128"))
	for _, test := range []struct{ name, peer, remote, tenant string }{
		{"wide network", "127.0.0.1", "10.9.9.9", "wide"},
		{"narrow network", "127.0.0.1", "10.1.9.9", "narrow"},
		{"one address", "127.0.0.1", "10.1.2.3", "one"},
		{"IPv6 network", "::1", "2001:db8:2::1", "six"},
		{"narrow IPv6 network", "::1", "2001:db8:1::1", "six-narrow"},
		{"address with a zone", "::1", "fe80::1%eth0", "elsewhere"},
		{"mapped address", "127.0.0.1", "::ffff:10.1.2.3", "one"},
		{"mapped network", "127.0.0.1", "192.0.2.7", "mapped"},
		{"mapped proxy", "::ffff:127.0.0.1", "10.1.2.3", "one"},
		{"address of no network", "127.0.0.1", "172.16.0.1", "elsewhere"},
		{"no address: the proxy is not the client itself", "127.0.0.1", "", "elsewhere"},
		{"address with a port", "127.0.0.1", "10.1.2.3:80", "elsewhere"},
		{"untrusted peer: the address given is ignored", "10.1.2.3", "10.9.9.9", "one"},
		{"untrusted peer in the wide network", "10.9.9.9", "10.1.2.3", "wide"},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.tenant, table.Lookup(netip.MustParseAddr(test.peer), []byte(test.remote)))
		})
	}
	require.Equal(t, "elsewhere", New("elsewhere").Lookup(netip.Addr{}, nil))
}

// BenchmarkLookup measures a lookup of a client behind a trusted proxy.
func BenchmarkLookup(b *testing.B) {
	for _, prefixes := range []int{10, 100_000} {
		b.Run(fmt.Sprintf("prefixes=%d", prefixes), func(b *testing.B) {
			table := New("elsewhere")
			for i := range prefixes {
				address := netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)})
				table.AddNetwork(netip.PrefixFrom(address, 32), "t")
			}
			table.TrustProxies(netip.MustParsePrefix("127.0.0.1/32"))
			peer := netip.MustParseAddr("127.0.0.1")
			b.ReportAllocs()
			for b.Loop() {
				table.Lookup(peer, []byte("10.0.3.7"))
			}
		})
	}
}
