#pragma once

#include "core/ids.h"
#include "core/ip_address.h"
#include "core/seeded_random.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway::standins {

/** An instance that the fabric sprays packets over. */
struct fabric_instance
{
    instance_id id;
    endpoint fabricPort; ///< Where IP-in-UDP packets are sent.
    std::string failureDomain;

    /** Parses "id=ADDRESS:PORT@failure-domain". Fails with InvalidInput. */
    static result<fabric_instance> parse(const std::string &text);
};

/** The side of the fabric on which a datagram leaves. */
enum class fabric_side : std::uint8_t {
    Callers,
    Instances,
};

/** A datagram to send. */
struct fabric_delivery
{
    time_point at;
    fabric_side side = fabric_side::Instances;
    endpoint to;
    std::vector<std::byte> bytes;
};

/** Disturbances that apply to packets in both directions. */
struct fabric_disturbance
{
    double dropRatio = 0; ///< In [0, 1].
    duration delay{}; ///< Added to every packet.
    double reorderRatio = 0; ///< Share of the packets that are held back.
    duration reorderDelay = std::chrono::milliseconds(5); ///< Added to packets held back.
};

struct fabric_counters
{
    std::uint64_t fromCallers = 0;
    std::uint64_t fromInstances = 0;
    std::uint64_t dropped = 0; ///< By the drop ratio.
    std::uint64_t cutOff = 0; ///< No reachable instance, or the answer crossed a cut.
    std::uint64_t unknownCaller = 0; ///< Answers to an address from which nothing was received.
    std::uint64_t faulty = 0; ///< Without a valid IP header.
};

/** Pure logic of the fabric: spraying, learning of callers, disturbances and cuts. */
class fabric_model
{
public:
    explicit fabric_model(std::uint64_t seed);

    /** Adds or replaces an instance. */
    void addInstance(const fabric_instance &instance);
    /** Returns whether the instance was present. */
    bool removeInstance(instance_id id);
    void setDisturbance(const fabric_disturbance &disturbance) { m_disturbance = disturbance; }
    const fabric_disturbance &disturbance() const { return m_disturbance; }

    /** Cuts two failure domains apart. Callers without a domain are in the domain "". */
    void cut(const std::string &first, const std::string &second);
    void heal(const std::string &first, const std::string &second);
    bool isCut(const std::string &first, const std::string &second) const;
    /** Places the caller with this address in a failure domain. */
    void placeCaller(const ip_address &caller, const std::string &failureDomain);

    /** Handles an IP-in-UDP datagram from a caller and learns the caller's endpoint. */
    void onCallerDatagram(const endpoint &source, std::span<const std::byte> bytes, time_point now);
    /** Handles an IP-in-UDP datagram from an instance; a cut applies if it uses its fabric port. */
    void onInstanceDatagram(const endpoint &source, std::span<const std::byte> bytes,
                            time_point now);

    /** Returns and forgets the datagrams that are due, in the order of their times. */
    std::vector<fabric_delivery> takeDue(time_point now);
    time_point nextTimer() const;

    const fabric_counters &counters() const { return m_counters; }
    /** Packets sent to each instance. */
    const std::map<instance_id, std::uint64_t> &sprayed() const { return m_sprayed; }
    const std::map<instance_id, fabric_instance> &instances() const { return m_instances; }

private:
    const fabric_instance *chooseInstance(const std::string &callerDomain);
    std::string domainOf(const ip_address &caller) const;
    bool isCutFrom(const endpoint &instance, const ip_address &caller) const;
    void deliver(fabric_side side, const endpoint &to, std::span<const std::byte> bytes,
                 time_point now);

    seeded_random m_random;
    fabric_disturbance m_disturbance;
    std::map<instance_id, fabric_instance> m_instances;
    std::map<ip_address, endpoint> m_callers;
    std::map<ip_address, std::string> m_callerDomains;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::multimap<time_point, fabric_delivery> m_waiting;
    fabric_counters m_counters;
    std::map<instance_id, std::uint64_t> m_sprayed;
};

} // namespace ebonyway::standins
