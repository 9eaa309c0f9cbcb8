#include "process/control_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr double MaxControlBytesPerSecond = 3000;

struct scale_fixture
{
    struct traffic
    {
        double meanBytes = 0; ///< Sent per second and instance, IPv4 and UDP headers included.
        double maxBytes = 0;
        double datagrams = 0; ///< Sent per second and instance.
        double platformCalls = 0; ///< Per second, all instances.
        double staleShare = 0; ///< Pairs of instances without a fresh heartbeat.
    };

    static double seconds(duration time) { return std::chrono::duration<double>(time).count(); }

    static traffic measure(control_fleet &fleet, duration time)
    {
        std::map<std::uint32_t, std::size_t> bytes;
        std::map<std::uint32_t, std::size_t> datagrams;
        for (const std::uint32_t id : fleet.running()) {
            bytes[id] = fleet.node(id).wireBytesSent;
            datagrams[id] = fleet.node(id).datagramsSent;
        }
        const std::uint64_t calls = fleet.platform.callCount;
        traffic measured;
        constexpr int Samples = 10;
        for (int i = 0; i < Samples; ++i) {
            fleet.run(time / Samples);
            measured.staleShare += staleShare(fleet) / Samples;
        }
        const double count = static_cast<double>(bytes.size());
        for (const auto &[id, before] : bytes) {
            const double sent =
                    static_cast<double>(fleet.node(id).wireBytesSent - before) / seconds(time);
            measured.meanBytes += sent / count;
            measured.maxBytes = std::max(measured.maxBytes, sent);
            measured.datagrams += static_cast<double>(fleet.node(id).datagramsSent - datagrams[id])
                                  / seconds(time) / count;
        }
        measured.platformCalls =
                static_cast<double>(fleet.platform.callCount - calls) / seconds(time);
        return measured;
    }

    static double staleShare(control_fleet &fleet)
    {
        std::size_t pairs = 0;
        std::size_t stale = 0;
        for (const std::uint32_t id : fleet.running()) {
            const cluster_view &view = fleet.node(id).view;
            for (const member &seen : view.members) {
                pairs++;
                stale += fleet.now() - seen.lastHeard > view.freshnessLimit ? 1 : 0;
            }
        }
        return static_cast<double>(stale) / static_cast<double>(pairs);
    }

    static void runSize(std::uint32_t count, duration measuredTime, duration noteLimit)
    {
        control_fleet fleet(count, {1ms, 2ms, 0.001, 0});
        fleet.startMany(count);
        duration joined{0};
        while (joined < 60s && !fleet.hasConverged()) {
            fleet.run(500ms);
            joined += 500ms;
        }
        CHECK(fleet.hasConverged());
        fleet.run(5s);
        const int suspectedBefore = fleet.events["member_suspected"];
        const traffic quiet = measure(fleet, measuredTime);
        const duration taken = fleet.runUntilAllHave(fleet.acceptNote(), 30s);
        CHECK(taken <= noteLimit);
        CHECK(quiet.maxBytes <= MaxControlBytesPerSecond);
        CHECK(fleet.events["member_dead"] == 0);
        CHECK(fleet.breaches.notesFell == 0);
        MESSAGE(count << " instances: joined after " << seconds(joined) << " s; sent per instance "
                      << quiet.meanBytes << " B/s (max " << quiet.maxBytes << "), "
                      << quiet.datagrams << " datagrams/s; platform " << quiet.platformCalls
                      << " calls/s; stale pairs " << 100 * quiet.staleShare << " %; suspicions "
                      << fleet.events["member_suspected"] - suspectedBefore << ", wrong deaths "
                      << fleet.events["member_dead"] << "; note everywhere after " << seconds(taken)
                      << " s; " << fleet.node(1).core->stateBytes() / count << " bytes per member");
    }
};

} // namespace

TEST_CASE_FIXTURE(scale_fixture, "control core, 8 to 480 instances, costs stay within the budget")
{
    // Guards against costs that grow with the number of instances.
    runSize(8, 60s, 3s);
    runSize(48, 30s, 12s);
    runSize(240, 20s, 12s);
    runSize(480, 20s, 12s);
}

} // namespace ebonyway
