#include "standins/fabric_model.h"

#include "standins/stream_segment.h"

#include <algorithm>
#include <charconv>

namespace ebonyway::standins {

namespace {

error invalidInstance(const std::string &text)
{
    return {error_kind::InvalidInput, "'" + text + "' is not an instance",
            "Write id=ADDRESS:PORT@failure-domain with a numeric id."};
}

std::pair<std::string, std::string> ordered(const std::string &first, const std::string &second)
{
    return std::minmax(first, second);
}

} // namespace

result<fabric_instance> fabric_instance::parse(const std::string &text)
{
    const std::size_t equals = text.find('=');
    const std::size_t at = text.rfind('@');
    if (equals == std::string::npos || at == std::string::npos || at < equals) {
        return invalidInstance(text);
    }
    fabric_instance instance;
    const char *end = text.data() + equals;
    const auto parsed = std::from_chars(text.data(), end, instance.id.value);
    if (parsed.ec != std::errc{} || parsed.ptr != end) {
        return invalidInstance(text);
    }
    const result<endpoint> port = endpoint::parse(text.substr(equals + 1, at - equals - 1));
    if (!isOk(port)) {
        return errorOf(port);
    }
    instance.fabricPort = valueOf(port);
    instance.failureDomain = text.substr(at + 1);
    return instance;
}

fabric_model::fabric_model(std::uint64_t seed)
    : m_random(seed)
{ }

void fabric_model::addInstance(const fabric_instance &instance)
{
    m_instances[instance.id] = instance;
}

bool fabric_model::removeInstance(instance_id id)
{
    return m_instances.erase(id) > 0;
}

void fabric_model::cut(const std::string &first, const std::string &second)
{
    m_cuts.insert(ordered(first, second));
}

void fabric_model::heal(const std::string &first, const std::string &second)
{
    m_cuts.erase(ordered(first, second));
}

bool fabric_model::isCut(const std::string &first, const std::string &second) const
{
    return m_cuts.contains(ordered(first, second));
}

void fabric_model::placeCaller(const ip_address &caller, const std::string &failureDomain)
{
    m_callerDomains[caller] = failureDomain;
}

std::string fabric_model::domainOf(const ip_address &caller) const
{
    const auto found = m_callerDomains.find(caller);
    return found == m_callerDomains.end() ? std::string() : found->second;
}

void fabric_model::onCallerDatagram(const endpoint &source, std::span<const std::byte> bytes,
                                    time_point now)
{
    ++m_counters.fromCallers;
    const std::optional<packet_addresses> addresses = readAddresses(bytes);
    if (!addresses) {
        ++m_counters.faulty;
        return;
    }
    m_callers[addresses->source] = source;
    const fabric_instance *instance = chooseInstance(domainOf(addresses->source));
    if (instance == nullptr) {
        ++m_counters.cutOff;
        return;
    }
    ++m_sprayed[instance->id];
    deliver(fabric_side::Instances, instance->fabricPort, bytes, now);
}

const fabric_instance *fabric_model::chooseInstance(const std::string &callerDomain)
{
    std::vector<const fabric_instance *> reachable;
    reachable.reserve(m_instances.size());
    for (const auto &[id, instance] : m_instances) {
        if (!isCut(callerDomain, instance.failureDomain)) {
            reachable.push_back(&instance);
        }
    }
    return reachable.empty() ? nullptr : reachable[m_random.below(reachable.size())];
}

bool fabric_model::isCutFrom(const endpoint &instance, const ip_address &caller) const
{
    for (const auto &[id, known] : m_instances) {
        if (known.fabricPort == instance) {
            return isCut(domainOf(caller), known.failureDomain);
        }
    }
    return false;
}

void fabric_model::onInstanceDatagram(const endpoint &source, std::span<const std::byte> bytes,
                                      time_point now)
{
    ++m_counters.fromInstances;
    const std::optional<packet_addresses> addresses = readAddresses(bytes);
    if (!addresses) {
        ++m_counters.faulty;
        return;
    }
    const auto caller = m_callers.find(addresses->destination);
    if (caller == m_callers.end()) {
        ++m_counters.unknownCaller;
        return;
    }
    if (isCutFrom(source, addresses->destination)) {
        ++m_counters.cutOff;
        return;
    }
    deliver(fabric_side::Callers, caller->second, bytes, now);
}

void fabric_model::deliver(fabric_side side, const endpoint &to, std::span<const std::byte> bytes,
                           time_point now)
{
    if (m_random.unit() < m_disturbance.dropRatio) {
        ++m_counters.dropped;
        return;
    }
    time_point at = now + m_disturbance.delay;
    if (m_random.unit() < m_disturbance.reorderRatio) {
        at += m_disturbance.reorderDelay;
    }
    m_waiting.emplace(at, fabric_delivery{at, side, to, {bytes.begin(), bytes.end()}});
}

std::vector<fabric_delivery> fabric_model::takeDue(time_point now)
{
    std::vector<fabric_delivery> due;
    const auto last = m_waiting.upper_bound(now);
    for (auto delivery = m_waiting.begin(); delivery != last; ++delivery) {
        due.push_back(std::move(delivery->second));
    }
    m_waiting.erase(m_waiting.begin(), last);
    return due;
}

time_point fabric_model::nextTimer() const
{
    return m_waiting.empty() ? time_point::max() : m_waiting.begin()->first;
}

} // namespace ebonyway::standins
