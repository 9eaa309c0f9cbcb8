#include "version/route_plan.h"

#include "core/precondition.h"
#include "version/slot_shares.h"

#include <string_view>

namespace ebonyway {

route_plan::route_plan(const route_plan &previous, intent next)
    : m_intent(std::move(next))
{
    const std::vector<service_shares> before = collectShares(previous.m_intent);
    const std::vector<service_shares> after = collectShares(m_intent);
    m_tables.resize(m_intent.nextServiceId);
    for (const service &current : m_intent.services) {
        const std::size_t index = current.id.value;
        EBONYWAY_FAIL_IF(index >= m_tables.size(), "a service id is not below nextServiceId");
        const bool known = index < previous.m_tables.size() && previous.m_tables[index] != nullptr;
        if (known && before[index].shares == after[index].shares) {
            m_tables[index] = previous.m_tables[index];
            continue;
        }
        const slot_table *table = known ? previous.m_tables[index].get() : nullptr;
        m_tables[index] =
                std::make_shared<const slot_table>(nextSlotTable(table, m_intent, current.id));
    }
    indexServices();
}

route_plan::route_plan(intent current, std::vector<slot_table> tables)
    : m_intent(std::move(current))
{
    m_tables.resize(m_intent.nextServiceId);
    for (slot_table &table : tables) {
        const std::size_t index = table.service.value;
        EBONYWAY_FAIL_IF(index >= m_tables.size(),
                         "a table's service id is not below nextServiceId");
        m_tables[index] = std::make_shared<const slot_table>(std::move(table));
    }
    indexServices();
}

void route_plan::indexServices()
{
    for (const service &current : m_intent.services) {
        for (const ip_address &address : current.addresses) {
            m_services[{address, current.port, current.protocol}] = current.id;
        }
    }
}

std::optional<service_id> route_plan::serviceFor(const flow_key &key) const
{
    const auto found = m_services.find({key.service, key.servicePort, key.protocol});
    if (found == m_services.end()) {
        return std::nullopt;
    }
    return found->second;
}

const slot_table *route_plan::slotTable(service_id service) const
{
    return service.value < m_tables.size() ? m_tables[service.value].get() : nullptr;
}

slot_id route_plan::slotOf(service_id service, flow_hash hash) const
{
    const slot_table *table = slotTable(service);
    EBONYWAY_FAIL_IF_V(table == nullptr, (slot_id{service, 0}), "the service has no slot table");
    return {service, static_cast<std::uint16_t>(hash.value & (table->targets.size() - 1))};
}

std::size_t route_plan::service_address_hash::operator()(const service_address &address) const
{
    const auto *bytes = reinterpret_cast<const char *>(address.address.bytes.data());
    const std::size_t hash = std::hash<std::string_view>{}({bytes, address.address.bytes.size()});
    const std::size_t rest =
            (std::size_t{address.port} << 8) | static_cast<std::size_t>(address.protocol);
    return hash ^ (rest * 0x9e3779b97f4a7c15U);
}

} // namespace ebonyway
