#include "forwarding/process/unknown_version_log.h"

namespace ebonyway {

bool unknown_version_log::addIfNew(const endpoint &sender, std::uint32_t version)
{
    const entry added{sender, version};
    if (!m_seen.insert(added).second) {
        return false;
    }
    m_order.push_back(added);
    if (m_order.size() > MaxEntries) {
        m_seen.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace ebonyway
