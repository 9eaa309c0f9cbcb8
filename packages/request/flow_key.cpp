#include "request/flow_key.h"

#include "core/keyed_hash.h"

#include <array>
#include <cstring>

namespace ebonyway {

flow_hash hashFlow(const flow_key &key, const keyed_hash &hash)
{
    // The bytes are packed by hand because padding inside flow_key has no defined value.
    std::array<std::byte, 37> packed{};
    std::memcpy(packed.data(), key.caller.bytes.data(), 16);
    std::memcpy(packed.data() + 16, key.service.bytes.data(), 16);
    std::memcpy(packed.data() + 32, &key.callerPort, 2);
    std::memcpy(packed.data() + 34, &key.servicePort, 2);
    packed[36] = static_cast<std::byte>(key.protocol);
    return flow_hash{hash(packed)};
}

} // namespace ebonyway
