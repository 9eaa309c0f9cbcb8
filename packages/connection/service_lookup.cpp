#include "connection/service_lookup.h"

#include "version/intent.h"

#include <bit>

namespace ebonyway {

service_lookup::service_lookup(const intent &current)
{
    std::size_t count = 0;
    for (const service &known : current.services) {
        count += known.addresses.size();
    }
    // A load factor of at most 1/2 keeps probe sequences for unknown addresses short.
    m_entries.resize(std::bit_ceil(2 * count + 1));
    m_mask = m_entries.size() - 1;
    for (const service &known : current.services) {
        for (const ip_address &address : known.addresses) {
            entry added = entryFor(address, known.port, known.protocol);
            added.service = known.id;
            std::size_t index = positionOf(added);
            while (m_entries[index].transport != 0) {
                index = (index + 1) & m_mask;
            }
            m_entries[index] = added;
        }
    }
}

} // namespace ebonyway
