#pragma once

#include "request/flow_key.h"

#include <array>
#include <cstdint>
#include <cstring>
#include <optional>
#include <vector>

namespace ebonyway {

struct intent;

/**
 * Maps address, port and protocol to the service. Hash table with open addressing and linear
 * probing, for the fast path.
 */
class service_lookup
{
public:
    service_lookup() = default;
    explicit service_lookup(const intent &current);

    std::optional<service_id> find(const flow_key &key) const
    {
        const entry wanted = entryFor(key.service, key.servicePort, key.protocol);
        for (std::size_t index = positionOf(wanted);; index = (index + 1) & m_mask) {
            const entry &candidate = m_entries[index];
            // Comparing the arrays as a whole calls memcmp() on some processors.
            if (candidate.transport == wanted.transport && candidate.address[0] == wanted.address[0]
                && candidate.address[1] == wanted.address[1]) {
                return candidate.service;
            }
            if (candidate.transport == 0) {
                return std::nullopt;
            }
        }
    }

private:
    struct entry
    {
        std::array<std::uint64_t, 2> address{};
        std::uint32_t transport = 0; ///< Port and protocol; 0 marks a free entry.
        service_id service;
    };

    static entry entryFor(const ip_address &address, std::uint16_t port,
                          transport_protocol protocol);
    std::size_t positionOf(const entry &wanted) const
    {
        constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15U;
        const std::uint64_t mixed =
                (wanted.address[0] ^ (wanted.address[1] * Multiplier) ^ wanted.transport)
                * Multiplier;
        return (mixed >> 32) & m_mask;
    }

    std::vector<entry> m_entries = std::vector<entry>(1);
    std::size_t m_mask = 0;
};

inline service_lookup::entry service_lookup::entryFor(const ip_address &address, std::uint16_t port,
                                                      transport_protocol protocol)
{
    entry made;
    static_assert(sizeof(made.address) == sizeof(address.bytes));
    std::memcpy(made.address.data(), address.bytes.data(), sizeof(made.address));
    made.transport = (std::uint32_t{port} << 8) | static_cast<std::uint32_t>(protocol);
    return made;
}

} // namespace ebonyway
