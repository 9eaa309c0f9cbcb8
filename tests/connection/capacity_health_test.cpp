#include "connection/capacity_admission.h"
#include "connection/capacity_model.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct capacity_health_fixture
{
    static constexpr int Servers = 4;

    capacity_admission policy;
    time_point now{std::chrono::seconds(1000)};

    capacity_health_fixture()
    {
        policy.adoptIntent(capacityIntent(Servers), now);
        for (int i = 0; i < Servers; ++i) {
            policy.setHomeShare(id(i), 1, now);
        }
    }

    static backend_server_id id(int index)
    {
        return backend_server_id{static_cast<std::uint16_t>(index)};
    }

    void report(int index, bool reachable, std::uint64_t startCount = 1)
    {
        load_report result;
        result.backendServer = id(index);
        result.reachable = reachable;
        result.ready = reachable;
        result.startCount = startCount;
        policy.onLoadReport(result, now);
    }

    void failProbes(int index)
    {
        for (int i = 0; i < 3; ++i) {
            now += std::chrono::seconds(1);
            report(index, false);
        }
    }

    void failFlows(int index, int count)
    {
        for (int i = 0; i < count; ++i) {
            policy.onEvidence(id(index), flow_evidence::Retransmitted, now);
        }
    }

    backend_health health(int index) const { return policy.health(id(index), now); }
};

} // namespace

TEST_CASE_FIXTURE(capacity_health_fixture,
                  "dead servers, more than half of a service, are not treated as dead")
{
    // Guards against declaring all servers dead when the probes of this instance cannot get out.
    failProbes(0);
    failProbes(1);
    CHECK(health(0) == backend_health::Dead);
    CHECK(health(1) == backend_health::Dead);
    CHECK(policy.admitFlow(id(0), now) == admission::TryNext);
    failProbes(2);
    CHECK(health(0) != backend_health::Dead);
    CHECK(health(2) != backend_health::Dead);
}

TEST_CASE_FIXTURE(capacity_health_fixture,
                  "failed probes, traffic still answered, do not mean dead")
{
    // Guards against dropping established flows because of a broken health endpoint.
    for (int i = 0; i < 3; ++i) {
        now += std::chrono::seconds(1);
        policy.onEvidence(id(0), flow_evidence::Answered, now);
        report(0, false);
    }
    CHECK(health(0) == backend_health::Healthy);
}

TEST_CASE_FIXTURE(capacity_health_fixture,
                  "unanswered traffic, without or despite a successful probe, is detected")
{
    // Guards against depending on probes: a crash is detected from unanswered traffic.
    failFlows(0, 5);
    CHECK(health(0) == backend_health::Dead);
    policy.onEvidence(id(0), flow_evidence::Answered, now);
    CHECK(health(0) == backend_health::Cold);
    // With a successful probe, established flows are kept but new flows go elsewhere.
    report(1, true);
    failFlows(1, 5);
    CHECK(health(1) == backend_health::Cold);
    CHECK(policy.needsDeviation(id(1), now));
}

TEST_CASE_FIXTURE(capacity_health_fixture,
                  "cold start, added or restarted server, is reported as cold")
{
    // Guards against overloading a cold server (invariant 3) in the two cases in which it is known
    // to be cold in advance.
    policy.adoptIntent(capacityIntent(Servers + 1), now);
    CHECK(health(Servers) == backend_health::Cold);
    report(0, true, 1);
    CHECK(health(0) == backend_health::Healthy);
    report(0, true, 2);
    CHECK(health(0) == backend_health::Cold);
}

TEST_CASE_FIXTURE(capacity_health_fixture, "admission, no home share, admits nothing")
{
    // Guards the sum of the limits over all instances: without homes, the share of each limit is 0.
    policy.setHomeShare(id(0), 0, now);
    CHECK(policy.admitFlow(id(0), now) == admission::TryNext);
    CHECK(policy.admitFlow(id(1), now) == admission::Admit);
}

} // namespace ebonyway
