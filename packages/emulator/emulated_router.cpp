#include "emulator/emulated_router.h"

#include <xxhash.h>

namespace ebonyway {

namespace {

// After this many unanswered or refused questions in a row an instance gets no packets.
constexpr std::uint32_t MissesUntilOut = 2;

} // namespace

emulated_router::emulated_router(router_hash hash)
    : m_hash(hash)
{ }

void emulated_router::add(std::uint64_t instance, const std::string &failureDomain)
{
    m_members[instance] = {failureDomain, MissesUntilOut, false};
}

void emulated_router::poll(const std::function<bool(std::uint64_t)> &isReady)
{
    for (auto &[instance, state] : m_members) {
        if (isReady(instance)) {
            state.misses = 0;
            state.inRotation = true;
            continue;
        }
        if (++state.misses >= MissesUntilOut) {
            state.inRotation = false;
        }
    }
}

std::vector<std::uint64_t> emulated_router::membersOf(const std::string &failureDomain) const
{
    std::vector<std::uint64_t> all;
    std::vector<std::uint64_t> rotation;
    for (const auto &[instance, state] : m_members) {
        if (!failureDomain.empty() && state.failureDomain != failureDomain) {
            continue;
        }
        all.push_back(instance);
        if (state.inRotation) {
            rotation.push_back(instance);
        }
    }
    const bool tooFew = !rotation.empty() && rotation.size() * 2 < all.size();
    return tooFew ? all : rotation;
}

std::optional<std::uint64_t> emulated_router::choose(const flow_id &flow,
                                                     const std::string &failureDomain) const
{
    std::vector<std::uint64_t> members = membersOf(failureDomain);
    if (members.empty()) {
        members = membersOf("");
    }
    if (members.empty()) {
        return std::nullopt;
    }
    const std::uint64_t hash = std::hash<flow_id>{}(flow);
    if (m_hash == router_hash::Modulo) {
        return members[hash % members.size()];
    }
    std::uint64_t best = members.front();
    std::uint64_t bestScore = 0;
    for (const std::uint64_t instance : members) {
        const std::uint64_t score = XXH3_64bits_withSeed(&instance, sizeof(instance), hash);
        if (score < bestScore) {
            continue;
        }
        best = instance;
        bestScore = score;
    }
    return best;
}

} // namespace ebonyway
