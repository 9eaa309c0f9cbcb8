#pragma once

#include "core/ids.h"
#include "core/time.h"

#include <cstdint>
#include <vector>

namespace ebonyway {

/** Time as stored per flow, in units of 0.1 s of the monotonic clock. */
using flow_time = std::uint32_t;

/** Converts a point in time to the resolution stored per flow. */
flow_time toFlowTime(time_point time);

/** Converts a duration to the resolution stored per flow. */
flow_time toFlowTime(duration length);

/** A flow whose backend server is recorded because the slot table does not determine it. */
struct tracked_flow
{
    enum flag : std::uint8_t {
        Used = 1, ///< The table entry holds a flow.
        Probation = 2, ///< Only the first packet has been seen.
        Answered = 4, ///< An answer of the backend server has been seen.
        Closing = 8, ///< The caller has sent FIN.
        Admitted = 16, ///< Counted by the admission policy.
        Copied = 32, ///< The backup holds a copy.
    };

    flow_hash hash;
    flow_time lastSeen = 0;
    slot_id slot;
    backend_server_id backendServer;
    std::uint8_t flags = 0;

    bool has(flag wanted) const { return (flags & wanted) != 0; }
    void set(flag wanted) { flags = static_cast<std::uint8_t>(flags | wanted); }
    void clear(flag wanted) { flags = static_cast<std::uint8_t>(flags & ~wanted); }
    /** Short identifier of the flow within its service, used when its end is copied. */
    std::uint32_t tag() const { return static_cast<std::uint32_t>(hash.value >> 32); }
};

/** Time for which a flow on probation is protected from eviction. */
constexpr std::chrono::seconds ProbationGuard{3};

/**
 * Fixed-capacity hash table of tracked flows with open addressing. First packets enter a probation
 * ring; only a later packet makes an entry established. A flood of first packets therefore never
 * evicts an established flow. Pointers are valid until the next insert or erase.
 */
class tracked_flow_table
{
public:
    /** Capacities are in flows. All memory is allocated here. */
    tracked_flow_table(std::size_t establishedCapacity, std::size_t probationCapacity);

    tracked_flow *find(flow_hash hash);
    /** Finds a flow by the tag used in end records, or returns nullptr. */
    tracked_flow *findByTag(service_id service, std::uint32_t tag);

    /** Adds an absent flow as established. Returns nullptr if the table is full. */
    tracked_flow *insertEstablished(const tracked_flow &flow);
    /**
     * Adds an absent flow on probation. When the ring is full, its oldest entry is removed, and
     * `evicted` receives it if it was still on probation. Returns nullptr if that entry is younger
     * than ProbationGuard.
     */
    tracked_flow *insertProbation(const tracked_flow &flow, tracked_flow *evicted);
    /** Makes a flow on probation established. Returns false if the table is full. */
    bool promote(tracked_flow &flow);
    void erase(tracked_flow &flow);

    std::size_t size() const { return m_establishedCount + m_probationCount; }
    std::size_t establishedCount() const { return m_establishedCount; }
    std::size_t probationCount() const { return m_probationCount; }
    std::size_t memoryBytes() const;

    /** Calls visit(tracked_flow &) for every flow. The visitor must not insert or erase. */
    template <typename Visitor>
    void forEach(Visitor visit)
    {
        for (tracked_flow &flow : m_entries) {
            if (flow.has(tracked_flow::Used)) {
                visit(flow);
            }
        }
    }

    /** Calls visit(const tracked_flow &) for every flow. */
    template <typename Visitor>
    void forEach(Visitor visit) const
    {
        for (const tracked_flow &flow : m_entries) {
            if (flow.has(tracked_flow::Used)) {
                visit(flow);
            }
        }
    }

    /**
     * Visits the next `count` entries, so that repeated calls cover the whole table, and returns
     * the hashes of the flows for which expired(flow) is true.
     */
    template <typename Predicate>
    std::vector<flow_hash> sweep(std::size_t count, Predicate expired)
    {
        std::vector<flow_hash> found;
        for (std::size_t step = 0; step < count && step < m_entries.size(); ++step) {
            m_sweepIndex = (m_sweepIndex + 1) & m_mask;
            const tracked_flow &flow = m_entries[m_sweepIndex];
            if (flow.has(tracked_flow::Used) && expired(flow)) {
                found.push_back(flow.hash);
            }
        }
        return found;
    }

private:
    struct probation_entry
    {
        flow_hash hash;
        flow_time since = 0;
    };

    std::size_t homeIndex(flow_hash hash) const { return hash.value >> m_shift; }
    tracked_flow *insert(const tracked_flow &flow);
    bool makeProbationRoom(flow_time now, tracked_flow *evicted);

    std::vector<tracked_flow> m_entries;
    std::vector<probation_entry> m_ring;
    std::size_t m_ringHead = 0;
    std::size_t m_ringCount = 0;
    std::size_t m_mask = 0;
    unsigned m_shift = 0;
    std::size_t m_establishedCapacity = 0;
    std::size_t m_establishedCount = 0;
    std::size_t m_probationCount = 0;
    std::size_t m_sweepIndex = 0;
};

} // namespace ebonyway
