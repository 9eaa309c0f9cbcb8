#include "connection/admission_policy.h"
#include "connection/flow_engine.h"
#include "core/seeded_random.h"
#include "version/route_plan.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <new>

namespace {

std::atomic<std::uint64_t> allocationCount{0};

} // namespace

// Counts allocations, because the settled path must make none.
[[gnu::noinline]] void *operator new(std::size_t size)
{
    allocationCount.fetch_add(1, std::memory_order_relaxed);
    if (void *memory = std::malloc(size)) {
        return memory;
    }
    throw std::bad_alloc();
}

[[gnu::noinline]] void operator delete(void *memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t HeldFlows = 300'000;
static_assert(sizeof(tracked_flow) <= 64, "bound of section 1 of the design page");

class open_admission : public admission_policy
{
public:
    void adoptIntent(const intent &, time_point) override { }
    void setHomeShare(backend_server_id, double, time_point) override { }
    admission admitFlow(backend_server_id, time_point) override { return admission::Admit; }
    bool needsDeviation(backend_server_id, time_point) const override { return false; }
    backend_health health(backend_server_id, time_point) const override
    {
        return backend_health::Healthy;
    }
    void onEvidence(backend_server_id, flow_evidence, time_point) override { }
    void onLoadReport(const load_report &, time_point) override { }
    void onFlowEnded(backend_server_id, time_point) override { }
};

/** One home that drains 13 of 14 backend servers and holds 300,000 flows. */
class loaded_engine
{
public:
    loaded_engine()
        : m_engine(options(), m_admission)
    {
        intent first = firstIntent();
        auto plan = std::make_shared<const route_plan>(route_plan{}, first);
        adopt(plan);
        advance(4s);
        for (std::size_t index = 0; index + 1 < first.backendServers.size(); ++index) {
            first.backendServers[index].draining = true;
        }
        first.number = note_number{2};
        adopt(std::make_shared<const route_plan>(*plan, first));
        advance(3s);
        fill();
        m_settledRoute = m_engine.publishSettledRoute();
    }

    std::vector<packet_view> heldPackets; ///< Of flows in unsettled slots.
    std::vector<packet_view> settledPackets;

    route_decision routeUnsettled(std::size_t index)
    {
        return m_engine.route(heldPackets[index % heldPackets.size()], {}, m_now);
    }
    std::optional<route_decision> routeSettled(std::size_t index) const
    {
        return m_settledRoute->decide(settledPackets[index % settledPackets.size()], {}, m_now);
    }

private:
    static flow_engine_options options()
    {
        flow_engine_options chosen;
        chosen.self = instance_id{1};
        chosen.deploymentKey.assign(16, std::byte{7});
        return chosen;
    }

    static intent firstIntent()
    {
        intent first;
        first.number = note_number{1};
        service only;
        only.addresses = {ip_address::fromV4(0xc0000201)};
        only.port = 80;
        first.services = {only};
        first.nextServiceId = 1;
        first.failureDomains = {{failure_domain_id{0}, "d0", true}};
        first.nextFailureDomainId = 1;
        for (std::uint16_t id = 0; id < 14; ++id) {
            backend_server server;
            server.id = backend_server_id{id};
            first.backendServers.push_back(server);
        }
        first.nextBackendServerId = 14;
        return first;
    }

    void adopt(std::shared_ptr<const route_plan> plan)
    {
        m_note = plan->currentIntent().number;
        m_engine.adoptPlan(std::move(plan), m_now);
    }

    void advance(duration length)
    {
        for (const time_point end = m_now + length; m_now < end; m_now += 100ms) {
            const member self{instance_id{1}, {}, member_state::Ready, m_note, m_now, {}};
            m_engine.updateCluster({instance_id{1}, {self}, {}}, m_now);
            m_engine.onTick(m_now);
        }
    }

    void fill()
    {
        seeded_random random(1);
        while (m_engine.trackedFlowCount() < HeldFlows) {
            packet_view packet;
            packet.key.caller = ip_address::fromV4(static_cast<std::uint32_t>(random.next()));
            packet.key.callerPort = static_cast<std::uint16_t>(random.next());
            packet.key.service = ip_address::fromV4(0xc0000201);
            packet.key.servicePort = 80;
            packet.kind = packet_kind::TcpSyn;
            const std::size_t before = m_engine.trackedFlowCount();
            m_engine.route(packet, {}, m_now);
            packet.kind = packet_kind::TcpMidFlow;
            m_engine.route(packet, {}, m_now);
            const bool held = m_engine.trackedFlowCount() > before;
            (held ? heldPackets : settledPackets).push_back(packet);
        }
    }

    open_admission m_admission;
    flow_engine m_engine;
    time_point m_now{std::chrono::seconds{1000}};
    note_number m_note;
    std::shared_ptr<const settled_route> m_settledRoute;
};

loaded_engine &sharedEngine()
{
    static loaded_engine engine;
    return engine;
}

void settledDecision(benchmark::State &state)
{
    loaded_engine &engine = sharedEngine();
    std::size_t index = 0;
    const std::uint64_t before = allocationCount;
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(engine.routeSettled(index++));
    }
    state.counters["allocations"] = static_cast<double>(allocationCount - before);
}
BENCHMARK(settledDecision);

void unsettledDecision(benchmark::State &state)
{
    loaded_engine &engine = sharedEngine();
    std::size_t index = 0;
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(engine.routeUnsettled(index++));
    }
}
BENCHMARK(unsettledDecision);

} // namespace

} // namespace ebonyway

/** Measured by callgrind, which collects only inside functions of these names. */
extern "C" [[gnu::noinline]] std::size_t runSettledDecisions(std::size_t count)
{
    const ebonyway::loaded_engine &engine = ebonyway::sharedEngine();
    std::size_t decided = 0;
    for (std::size_t index = 0; index < count; ++index) {
        decided += engine.routeSettled(index).has_value() ? 1 : 0;
    }
    return decided;
}

extern "C" [[gnu::noinline]] std::size_t runUnsettledDecisions(std::size_t count)
{
    ebonyway::loaded_engine &engine = ebonyway::sharedEngine();
    std::size_t forwarded = 0;
    for (std::size_t index = 0; index < count; ++index) {
        forwarded += engine.routeUnsettled(index).index() == 0 ? 1 : 0;
    }
    return forwarded;
}

/** `--decisions settled|unsettled <count>` runs a fixed number of decisions for scripts/bench. */
int main(int argc, char **argv)
{
    if (argc == 4 && std::strcmp(argv[1], "--decisions") == 0) {
        const auto count = static_cast<std::size_t>(std::strtoull(argv[3], nullptr, 10));
        const bool settled = std::strcmp(argv[2], "settled") == 0;
        ebonyway::sharedEngine();
        const std::uint64_t before = allocationCount;
        const std::size_t done =
                settled ? runSettledDecisions(count) : runUnsettledDecisions(count);
        const std::uint64_t allocations = allocationCount - before;
        std::printf("%zu decisions, %zu done, %llu allocations, %zu bytes per flow\n", count, done,
                    static_cast<unsigned long long>(allocations), sizeof(ebonyway::tracked_flow));
        return done == count && (!settled || allocations == 0) ? 0 : 1;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
