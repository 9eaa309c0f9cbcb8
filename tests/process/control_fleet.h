#pragma once

#include "core/seeded_random.h"
#include "process/control_core.h"
#include "process/fake_platform.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace ebonyway {

/** Behaviour of the simulated network between instances. */
struct network_settings
{
    duration delay = std::chrono::milliseconds(1); ///< One way.
    duration jitter{0}; ///< Up to this much is added; above the send interval it reorders.
    double loss = 0;
    double duplication = 0;
};

/**
 * Stands for the route plan: the number and digest of the note in force and the failure domains
 * that notes with the text "out:<name>;" took out of service.
 */
class fake_intent : public intent_snapshots
{
public:
    result<intent_snapshot> current() const override;
    result<intent_snapshot> check(note_number number, std::string bytes) const override;

    void fold(note_number number, const note_digest &digest, const std::string &text);

    intent inForce;
};

/** One simulated instance and what it has done. */
struct fleet_node
{
    std::unique_ptr<fake_intent> plan;
    std::unique_ptr<control_core> core;
    std::string domain;
    bool mayReachPlatform = true;
    bool isRunning = false;
    time_point frozenUntil;
    cluster_view view;
    std::map<std::string, int> events; ///< Count of log events by name.
    std::vector<std::pair<instance_id, std::vector<std::byte>>> engineMessages;
    std::vector<load_report> loads;
    std::vector<backend_server_id> probeTargets;
    std::size_t wireBytesSent = 0; ///< Datagrams including 28 bytes of IPv4 and UDP headers.
    std::size_t datagramsSent = 0;
    std::map<std::uint64_t, time_point> adoptedAt; ///< By note number.
};

/** Breaches of the promises that hold in every run. */
struct fleet_breaches
{
    int notesFell = 0; ///< An instance adopted a note that was not above the one in force.
    int notesForked = 0; ///< Two digests for one note number.
};

/** Runs the control cores of several instances under virtual time on a simulated network. */
class control_fleet
{
public:
    control_fleet(std::uint64_t seed, network_settings network);

    /** Starts an instance, or restarts it with the next incarnation. */
    void start(std::uint32_t id, const std::string &domain);
    /** Restarts an instance with an incarnation below the earlier one, like a clock set back. */
    void startWithLowIncarnation(std::uint32_t id, const std::string &domain);
    /** Starts instances 1..count in three failure domains in turn. */
    void startMany(std::uint32_t count);
    /** Ends an instance without notice. */
    void kill(std::uint32_t id);
    /** Stops an instance from reading or ticking for a time; its datagrams queue up. */
    void freeze(std::uint32_t id, duration time);
    /** Cuts all packets between pairs for which the function returns true. */
    void cut(std::function<bool(std::uint32_t, std::uint32_t)> isCut);
    void heal();
    void run(duration time);
    /** Stores the next release note in the platform, like an operator. Returns its number. */
    std::uint64_t acceptNote(const std::string &effect = "", std::size_t size = 200);
    /** Returns whether all running instances have the note in force. */
    bool haveAll(std::uint64_t note);
    /** Runs until all running instances have the note, at most the limit. Returns the time taken.
     */
    duration runUntilAllHave(std::uint64_t note, duration limit);
    /** Sends raw bytes to an instance as if from the endpoint of another. */
    void inject(std::uint32_t from, std::uint32_t to, std::vector<std::byte> bytes);

    fleet_node &node(std::uint32_t id);
    time_point now() const { return m_now; }
    std::vector<std::uint32_t> running() const;
    /** State of a member in the view of another; Dead if it is not in the view. */
    member_state stateSeen(std::uint32_t observer, std::uint32_t id);
    /** Returns whether every running instance sees exactly the running ones as live. */
    bool hasConverged();
    static endpoint endpointOf(std::uint32_t id);
    static control_settings settingsOf(std::uint32_t id, const std::string &domain,
                                       std::uint64_t incarnation, std::uint64_t seed);

    network_settings network;
    fake_platform platform;
    fleet_breaches breaches;
    std::map<std::string, int> events; ///< Log events of all instances by name.
    std::string lastNoSourceReason;

private:
    struct event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> run;

        bool operator>(const event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void schedule(time_point at, std::function<void()> run);
    void scheduleTick(std::uint32_t id, std::uint64_t incarnation);
    void deliver(std::uint32_t from, std::uint32_t to, std::vector<std::byte> bytes);
    void transmit(std::uint32_t from, std::uint32_t to, const std::vector<std::byte> &bytes);
    void carryOut(std::uint32_t id);
    void carryOut(std::uint32_t id, control_action &action);
    void carryOutSync(std::uint32_t id, const send_sync_request &request);
    void carryOutCall(std::uint32_t id, const call_platform &call);
    void adopt(std::uint32_t id, note_number number, const note_digest &digest,
               const std::string &text);
    void resume(std::uint32_t id, std::uint64_t incarnation,
                const std::function<void(control_core &)> &run);
    bool isReachable(std::uint32_t from, std::uint32_t to) const;

    seeded_random m_random;
    std::uint64_t m_seed;
    time_point m_now{std::chrono::seconds(1000)};
    std::uint64_t m_eventCount = 0;
    std::map<std::uint32_t, fleet_node> m_nodes;
    std::map<std::uint32_t, std::uint64_t> m_incarnations;
    std::map<std::uint64_t, note_digest> m_digests; ///< Of each note that was adopted anywhere.
    std::uint64_t m_notes = 0;
    std::function<bool(std::uint32_t, std::uint32_t)> m_isCut;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_queue;
};

} // namespace ebonyway
