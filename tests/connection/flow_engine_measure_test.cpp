#include "engine_driver.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct measure_fixture
{
    /** Returns the message bytes per second and instance while one of 14 backend servers drains. */
    static double messageRate(double flowsPerInstance)
    {
        driver_options options;
        options.establishedCapacity = 60'000;
        options.probationCapacity = 16'384;
        options.idleTimeout = 900s;
        engine_driver driver(options);
        driver.startFlows(flowsPerInstance * 8, 9s, 2, 100ms);
        driver.run(2s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(4s);
        const std::uint64_t bytesBefore = driver.counts.messageBytes;
        const std::uint64_t messagesBefore = driver.counts.messages;
        driver.run(3s);
        const double bytes = static_cast<double>(driver.counts.messageBytes - bytesBefore);
        const double messages = static_cast<double>(driver.counts.messages - messagesBefore);
        MESSAGE(flowsPerInstance, " new flows/s per instance: ", bytes / 24, " bytes/s and ",
                messages / 24, " messages/s per instance");
        return bytes / 24;
    }

    /** Crashes all instances of a failure domain during a drain and returns the counts. */
    static driver_counts loseDomain(backup_placement placement)
    {
        driver_options options;
        options.placement = placement;
        options.partitionDeadAfter = 5s;
        options.idleTimeout = 60s;
        engine_driver driver(options);
        driver.startFlows(60, 60s, 8, 4s);
        driver.run(20s);
        driver.setDraining(backend_server_id{3}, true);
        driver.run(30s);
        for (const std::size_t index : {1, 4, 7}) {
            driver.crash(index);
        }
        driver.run(60s);
        return driver.counts;
    }
};

} // namespace

TEST_CASE_FIXTURE(measure_fixture,
                  "flow engine, one of 14 servers drains, messages stay within 3 KB/s")
{
    const double low = messageRate(500);
    const double high = messageRate(2'000);
    MESSAGE("slope: ", (high - low) / 1'500, " bytes per new flow of an instance");
    CHECK(high <= 3'000);
}

TEST_CASE_FIXTURE(measure_fixture,
                  "flow engine, failure domain dies, backup in another domain keeps its flows")
{
    const driver_counts other = loseDomain(backup_placement::OtherDomain);
    const driver_counts same = loseDomain(backup_placement::SameDomain);
    const driver_counts random = loseDomain(backup_placement::NextInList);
    MESSAGE("tracked flows lost: backup in another domain ", other.broken, " (+",
            other.lostUncopied, " not copied yet), same domain ", same.broken, ", anywhere ",
            random.broken);
    CHECK(other.broken == 0);
    CHECK(same.broken > 0);
}

} // namespace ebonyway
