#include "forwarding/connection/service_demand.h"

#include <xxhash.h>

namespace ebonyway {

std::uint32_t demandTag(std::string_view name)
{
    return static_cast<std::uint32_t>(XXH3_64bits(name.data(), name.size()));
}

std::uint32_t demandTag(const endpoint &address)
{
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(
            address.address.bytes.data(), address.address.bytes.size(), address.port));
}

} // namespace ebonyway
