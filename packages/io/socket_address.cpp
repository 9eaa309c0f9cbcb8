#include "io/socket_address.h"

#include <netinet/in.h>

#include <algorithm>

namespace ebonyway {

ACE_INET_Addr toAceAddress(const endpoint &from)
{
    if (from.address.isV4()) {
        return ACE_INET_Addr(from.port, static_cast<ACE_UINT32>(from.address.toV4()));
    }
    sockaddr_in6 raw{};
    raw.sin6_family = AF_INET6;
    raw.sin6_port = htons(from.port);
    std::copy(from.address.bytes.begin(), from.address.bytes.end(), raw.sin6_addr.s6_addr);
    ACE_INET_Addr address;
    address.set(reinterpret_cast<const sockaddr_in *>(&raw), sizeof(raw));
    return address;
}

endpoint fromAceAddress(const ACE_INET_Addr &from)
{
    endpoint converted;
    converted.port = from.get_port_number();
    if (from.get_type() == AF_INET) {
        converted.address = ip_address::fromV4(from.get_ip_address());
        return converted;
    }
    const auto *raw = reinterpret_cast<const sockaddr_in6 *>(from.get_addr());
    std::copy(std::begin(raw->sin6_addr.s6_addr), std::end(raw->sin6_addr.s6_addr),
              converted.address.bytes.begin());
    return converted;
}

} // namespace ebonyway
