#include "forwarding/connection/placement.h"

#include <benchmark/benchmark.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::array<const char *, 3> Domains{"a", "b", "c"};
constexpr duration WorkTime = 60ms;

/** An instance that knows the light load of all servers of one service. */
class placing_instance
{
public:
    explicit placing_instance(std::size_t serverCount)
        : m_directory(makeDirectory(serverCount))
    {
        m_evidence.adopt(m_directory);
        shared_load shared;
        shared.reporters = 24;
        for (const char *domain : Domains) {
            service_demand demand;
            demand.service = demandTag("desk");
            demand.route = demandTag(address());
            demand.underWay = static_cast<double>(serverCount) / 30;
            demand.newFlows = demand.underWay / 0.06;
            demand.workTime = WorkTime;
            shared.demands.push_back({domain, demand});
        }
        for (const directory_server &server : m_directory.servers()) {
            shared.servers.push_back({server.entry.key, 0.1, 0.1, WorkTime, 5});
            m_evidence.onProgress(server.entry.key, m_now);
        }
        m_load.update(m_directory, m_evidence, shared, {}, m_now);
    }

    std::optional<placement_choice> choose()
    {
        return m_placement.choose({m_directory, m_evidence, m_load, m_pace, m_coldStarts}, "desk",
                                  0, nullptr, m_now);
    }

private:
    static endpoint address() { return {ip_address::fromV4(0xc6120001), 8443}; }

    static directory makeDirectory(std::size_t serverCount)
    {
        auto routes = std::make_shared<route_table>();
        routes->version = 1;
        route only;
        only.name = "feed";
        only.address = address();
        only.shares = {{"desk", 1}};
        routes->routes[only.address] = only;
        routes->services["desk"] = {"desk", 0, 2'000ms, 4};
        std::vector<directory_server> servers;
        for (std::size_t i = 0; i < serverCount; ++i) {
            directory_server server;
            server.entry.key = server_key{i + 1};
            server.entry.service = "desk";
            server.entry.failureDomain = Domains[i % Domains.size()];
            server.entry.slots = 2;
            server.token = tokenOf(server.entry.key);
            servers.push_back(std::move(server));
        }
        return {1, std::move(routes), std::move(servers)};
    }

    time_point m_now{1'000s};
    directory m_directory;
    server_evidence m_evidence;
    deployment_load m_load{"a"};
    server_pace m_pace;
    cold_start_quota m_coldStarts{"one", 1};
    placement m_placement{"a", 1};
};

void placementChoice(benchmark::State &state)
{
    placing_instance instance(static_cast<std::size_t>(state.range(0)));
    for ([[maybe_unused]] auto iteration : state) {
        benchmark::DoNotOptimize(instance.choose());
    }
}
BENCHMARK(placementChoice)->Arg(30)->Arg(40)->Arg(120)->Arg(2'800);

} // namespace

} // namespace ebonyway

/** Measured by callgrind, which collects only inside functions of this name. */
extern "C" [[gnu::noinline]] std::size_t runChoices(void *instance, std::size_t count)
{
    auto &chooser = *static_cast<ebonyway::placing_instance *>(instance);
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < count; ++index) {
        chosen += chooser.choose().has_value() ? 1 : 0;
    }
    return chosen;
}

/** `--choices <servers> <count>` runs a fixed number of choices for scripts/bench. */
int main(int argc, char **argv)
{
    if (argc == 4 && std::strcmp(argv[1], "--choices") == 0) {
        const auto count = static_cast<std::size_t>(std::strtoull(argv[3], nullptr, 10));
        ebonyway::placing_instance instance(
                static_cast<std::size_t>(std::strtoull(argv[2], nullptr, 10)));
        const std::size_t chosen = runChoices(&instance, count);
        std::printf("%zu choices, %zu with a server\n", count, chosen);
        return chosen == count ? 0 : 1;
    }
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
