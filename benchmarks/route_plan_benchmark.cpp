#include "../tests/version/intent_samples.h"
#include "version/route_plan.h"

#include <benchmark/benchmark.h>

namespace ebonyway {

namespace {

constexpr std::size_t Services = 1800;
constexpr std::size_t Servers = 2800;

intent largeIntent()
{
    intent large = sampleIntent(0);
    for (std::size_t i = 1; i < Services; ++i) {
        addService(large, "service-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < Servers; ++i) {
        addServer(large, {static_cast<std::uint16_t>(i % Services)},
                  {static_cast<std::uint16_t>(i % 3)});
    }
    return large;
}

/** Bytes of the tables that one plan refers to. */
std::size_t tableBytes(const route_plan &plan)
{
    std::size_t bytes = 0;
    for (const service &current : plan.currentIntent().services) {
        const slot_table &table = *plan.slotTable(current.id);
        bytes += sizeof(table) + table.targets.capacity() * sizeof(backend_server_id)
                 + table.changedAt.capacity() * sizeof(note_number)
                 + table.earlierTargets.capacity() * sizeof(earlier_target);
    }
    return bytes;
}

void BM_PlanOneServiceChanges(benchmark::State &state)
{
    intent current = largeIntent();
    route_plan plan(route_plan{}, current);
    for (auto _ : state) {
        ++current.number.value;
        backend_server &server = current.backendServers[current.number.value * 7919 % Servers];
        server.draining = !server.draining;
        plan = route_plan(plan, current);
    }
    state.counters["table_bytes"] = static_cast<double>(tableBytes(plan));
}
BENCHMARK(BM_PlanOneServiceChanges)->Iterations(6900)->Unit(benchmark::kMicrosecond);

void BM_PlanFromNothing(benchmark::State &state)
{
    const intent current = largeIntent();
    for (auto _ : state) {
        benchmark::DoNotOptimize(route_plan(route_plan{}, current));
    }
}
BENCHMARK(BM_PlanFromNothing)->Unit(benchmark::kMillisecond);

/** The largest service that the limits of a release note allow. */
void BM_PlanLargestService(benchmark::State &state)
{
    const intent current = sampleIntent(16384);
    for (auto _ : state) {
        benchmark::DoNotOptimize(route_plan(route_plan{}, current));
    }
}
BENCHMARK(BM_PlanLargestService)->Unit(benchmark::kMillisecond);

} // namespace

} // namespace ebonyway

BENCHMARK_MAIN();
