#include "process/flow_outcome_log.h"

#include "core/json_text.h"

#include <limits>

namespace ebonyway {

namespace {

/** Length of the buckets that serve each of BurnWindows. */
constexpr std::array<std::chrono::seconds, BurnWindows.size()> BucketLengths{
        std::chrono::minutes{1}, std::chrono::minutes{10}, std::chrono::hours{1},
        std::chrono::hours{12}, std::chrono::hours{24}};

/** Full buckets of the window, plus the running one. */
constexpr std::size_t bucketCount(std::size_t window)
{
    return static_cast<std::size_t>(BurnWindows[window] / BucketLengths[window]) + 1;
}

std::uint32_t bucketNumber(std::size_t window, flow_outcome_log::wall_time at)
{
    return static_cast<std::uint32_t>(at.time_since_epoch() / BucketLengths[window]);
}

/** Counters stop at their largest value instead of starting again from 0. */
void addSaturating(std::uint32_t &counter, std::uint32_t flows)
{
    constexpr std::uint32_t Largest = std::numeric_limits<std::uint32_t>::max();
    counter = flows > Largest - counter ? Largest : counter + flows;
}

error notALog(const std::string &place, const Json::Value &value)
{
    return {error_kind::InvalidInput, "the flow outcomes have " + shortJson(value) + " as " + place,
            "Ask an instance of the same version of ebonyway."};
}

} // namespace

const char *flowOutcomeText(std::size_t index)
{
    constexpr std::array<const char *, FlowOutcomeCount> Texts{
            "good",
            "refused: no backend server had room",
            "given up: the backend server or its failure domain is gone",
            "reset by the backend server",
            "no answer from the backend server",
            "dropped: unknown service",
            "dropped: no release note in force",
            "dropped: no backend server available",
            "dropped: network partition suspected",
            "dropped: relayed too often",
            "dropped: flow table full",
            "dropped: outcome unknown",
            "dropped: flow given up"};
    return index < Texts.size() ? Texts[index] : "unknown";
}

void flow_outcome_log::count(service_id service, std::size_t outcomeIndex, std::uint32_t flows,
                             wall_time at)
{
    if (outcomeIndex >= FlowOutcomeCount) {
        return;
    }
    for (std::size_t window = 0; window < BurnWindows.size(); ++window) {
        bucket added;
        added.number = bucketNumber(window, at);
        added.flows[outcomeIndex] = flows;
        add(service, window, added);
    }
}

flow_counters flow_outcome_log::flowsIn(service_id service, std::size_t window, wall_time now) const
{
    flow_counters sum{};
    const auto found = m_rings.find(service);
    if (found == m_rings.end()) {
        return sum;
    }
    const std::uint32_t newest = bucketNumber(window, now);
    for (const bucket &counted : found->second[window]) {
        const bool inWindow =
                counted.number <= newest && counted.number + bucketCount(window) > newest;
        if (!inWindow) {
            continue;
        }
        for (std::size_t i = 0; i < FlowOutcomeCount; ++i) {
            sum[i] += counted.flows[i];
        }
    }
    return sum;
}

std::vector<service_id> flow_outcome_log::services() const
{
    std::vector<service_id> ids;
    for (const auto &[service, rings] : m_rings) {
        ids.push_back(service);
    }
    return ids;
}

Json::Value flow_outcome_log::toJson() const
{
    Json::Value written;
    written["services"] = Json::Value(Json::arrayValue);
    for (const auto &[service, rings] : m_rings) {
        Json::Value item;
        item["service"] = service.value;
        for (std::size_t window = 0; window < rings.size(); ++window) {
            Json::Value list(Json::arrayValue);
            for (const bucket &counted : rings[window]) {
                Json::Value numbers(Json::arrayValue);
                numbers.append(counted.number);
                for (const std::uint32_t flows : counted.flows) {
                    numbers.append(flows);
                }
                list.append(numbers);
            }
            item["buckets"].append(list);
        }
        written["services"].append(item);
    }
    return written;
}

status flow_outcome_log::merge(const Json::Value &written)
{
    flow_outcome_log merged = *this;
    const Json::Value list = written.isObject() ? written["services"] : Json::Value();
    if (!list.isArray()) {
        return notALog("services", list);
    }
    for (const Json::Value &item : list) {
        status outcome = merged.mergeService(item);
        if (!isOk(outcome)) {
            return outcome;
        }
    }
    *this = std::move(merged);
    return {};
}

status flow_outcome_log::mergeService(const Json::Value &item)
{
    if (!item.isObject() || !item["service"].isUInt() || item["service"].asUInt() > 0xffff) {
        return notALog("service", item);
    }
    const service_id service{static_cast<std::uint16_t>(item["service"].asUInt())};
    const Json::Value &windows = item["buckets"];
    if (!windows.isArray() || windows.size() != BurnWindows.size()) {
        return notALog("buckets", windows);
    }
    for (Json::ArrayIndex window = 0; window < windows.size(); ++window) {
        for (const Json::Value &numbers : windows[window]) {
            const result<bucket> added = readBucket(numbers);
            if (!isOk(added)) {
                return errorOf(added);
            }
            add(service, window, valueOf(added));
        }
    }
    return {};
}

result<flow_outcome_log::bucket> flow_outcome_log::readBucket(const Json::Value &numbers)
{
    if (!numbers.isArray() || numbers.size() != FlowOutcomeCount + 1) {
        return notALog("a bucket", numbers);
    }
    bucket read;
    for (Json::ArrayIndex i = 0; i < numbers.size(); ++i) {
        if (!numbers[i].isUInt()) {
            return notALog("a counter", numbers[i]);
        }
        (i == 0 ? read.number : read.flows[i - 1]) = numbers[i].asUInt();
    }
    return read;
}

/** Returns nullptr if the ring holds a newer bucket in the place. */
flow_outcome_log::bucket *flow_outcome_log::bucketFor(ring &buckets, std::size_t window,
                                                      std::uint32_t number)
{
    buckets.resize(bucketCount(window));
    bucket &place = buckets[number % buckets.size()];
    if (place.number > number) {
        return nullptr;
    }
    if (place.number < number) {
        place = {};
        place.number = number;
    }
    return &place;
}

void flow_outcome_log::add(service_id service, std::size_t window, const bucket &added)
{
    bucket *place = bucketFor(m_rings[service][window], window, added.number);
    if (place == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < FlowOutcomeCount; ++i) {
        addSaturating(place->flows[i], added.flows[i]);
    }
}

} // namespace ebonyway
