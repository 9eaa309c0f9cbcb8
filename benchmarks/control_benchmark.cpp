#include "process/control_core.h"

#include <benchmark/benchmark.h>

#include <map>
#include <memory>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t GossipPort = 7000;
constexpr std::uint32_t BaseAddress = 0x0a000000;

/** An instance without an intent; the benchmark measures membership and gossip. */
class no_snapshots : public intent_snapshots
{
public:
    result<intent_snapshot> current() const override
    {
        return error{error_kind::NotFound, "no intent", "Wait"};
    }

    result<intent_snapshot> check(note_number, std::string) const override
    {
        return error{error_kind::InvalidInput, "no intent", "Wait"};
    }
};

/** Control cores that know each other, with messages delivered without delay. */
class joined_cores
{
public:
    explicit joined_cores(std::uint32_t count)
    {
        for (std::uint32_t id = 1; id <= count; ++id) {
            m_cores.push_back(std::make_unique<control_core>(settingsOf(id), m_snapshots, now));
        }
        for (int i = 0; i < 300; ++i) {
            tickAll();
        }
    }

    void tickAll()
    {
        now += 100ms;
        for (std::uint32_t id = 1; id <= m_cores.size(); ++id) {
            m_cores[id - 1]->onTick(now);
            deliver(id);
        }
    }

    control_core &first() { return *m_cores.front(); }

    /** Returns the last full gossip datagram that was sent to the first instance. */
    const std::vector<std::byte> &lastDatagram() const { return m_lastDatagram; }

    std::size_t memberCount() const { return m_cores.size(); }

    time_point now{1000s};

private:
    static control_settings settingsOf(std::uint32_t id)
    {
        control_settings settings;
        settings.membership.self = instance_id{id};
        settings.membership.incarnation = 1;
        const ip_address address = ip_address::fromV4(BaseAddress + id);
        settings.membership.profile = {
                "domain-" + std::to_string(id % 5), address, GossipPort, 7001, 7002, 7003};
        settings.membership.seeds.push_back({ip_address::fromV4(BaseAddress + 1), GossipPort});
        settings.deploymentKey.assign(32, std::byte{1});
        settings.seed = id;
        return settings;
    }

    void deliver(std::uint32_t from)
    {
        const endpoint source{ip_address::fromV4(BaseAddress + from), GossipPort};
        for (control_action &action : m_cores[from - 1]->takeActions()) {
            auto *datagram = std::get_if<send_datagram>(&action);
            if (datagram == nullptr) {
                continue;
            }
            const std::uint32_t to = datagram->to.address.toV4() - BaseAddress;
            m_cores[to - 1]->onDatagram(source, datagram->bytes, now);
            if (to == 1) {
                m_lastDatagram = std::move(datagram->bytes);
            }
        }
    }

    no_snapshots m_snapshots;
    std::vector<std::unique_ptr<control_core>> m_cores;
    std::vector<std::byte> m_lastDatagram;
};

joined_cores &coresOf(std::uint32_t count)
{
    static std::map<std::uint32_t, std::unique_ptr<joined_cores>> all;
    std::unique_ptr<joined_cores> &cores = all[count];
    if (!cores) {
        cores = std::make_unique<joined_cores>(count);
    }
    return *cores;
}

std::uint32_t countOf(const benchmark::State &state)
{
    return static_cast<std::uint32_t>(state.range(0));
}

/** All control work of all instances for 100 ms; divide by the members for one instance. */
void BM_controlWork(benchmark::State &state)
{
    joined_cores &cores = coresOf(countOf(state));
    for (auto _ : state) {
        cores.tickAll();
    }
    // CPU seconds per second of one instance, which is the share of a core.
    const double instanceSeconds = static_cast<double>(state.iterations()) * 0.1
                                   * static_cast<double>(cores.memberCount());
    state.counters["cores_per_instance"] = benchmark::Counter(
            instanceSeconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(BM_controlWork)->Arg(8)->Arg(48)->Arg(240)->Arg(480)->Unit(benchmark::kMicrosecond);

/** One tick without gossip due. */
void BM_tick(benchmark::State &state)
{
    joined_cores &cores = coresOf(countOf(state));
    for (auto _ : state) {
        cores.first().onTick(cores.now);
        benchmark::DoNotOptimize(cores.first().takeActions());
    }
}
BENCHMARK(BM_tick)->Arg(8)->Arg(480);

gossip_message gossipOf(std::uint32_t count)
{
    gossip_message message;
    message.round = 100'000;
    for (std::uint32_t id = 1; id <= count; ++id) {
        message.heartbeats.push_back({instance_id{id}, 3, announced_state::Ready, 0});
    }
    return message;
}

void BM_encode(benchmark::State &state)
{
    const gossip_message message = gossipOf(countOf(state));
    const std::vector<std::byte> key(32, std::byte{1});
    const datagram_codec codec(key);
    for (auto _ : state) {
        benchmark::DoNotOptimize(codec.seal({}, encodeBounded(message), {}));
    }
}
BENCHMARK(BM_encode)->Arg(8)->Arg(480);

void BM_decode(benchmark::State &state)
{
    const std::vector<std::byte> key(32, std::byte{1});
    const datagram_codec codec(key);
    const auto bytes = codec.seal({}, encodeBounded(gossipOf(countOf(state))), {});
    for (auto _ : state) {
        const auto opened = codec.open(valueOf(bytes), instance_id{1});
        benchmark::DoNotOptimize(
                decodeBounded<gossip_message>(std::get<secure_datagram>(opened).payload));
    }
}
BENCHMARK(BM_decode)->Arg(8)->Arg(480);

} // namespace

} // namespace ebonyway

BENCHMARK_MAIN();
