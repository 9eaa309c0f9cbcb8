#include "standins/caller_model.h"
#include "standins/caller_report.h"
#include "standins/event_loop.h"
#include "standins/json_line.h"
#include "standins/option_parser.h"
#include "standins/udp_port.h"

#include <iostream>
#include <string>

namespace ebonyway::standins {

namespace {

/** How long flows may take to end after the traffic has stopped. */
constexpr duration LongestEnding = std::chrono::seconds(20);

struct caller_options
{
    caller_settings settings;
    endpoint local;
    endpoint fabric;
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(10);
    duration reportInterval = std::chrono::seconds(1);
};

/** Connects the caller model to a UDP port. */
class caller_process
{
public:
    explicit caller_process(const caller_options &options)
        : m_options(options)
        , m_started(std::chrono::steady_clock::now())
        , m_callers(options.settings, options.seed, m_started)
    { }

    status open()
    {
        return m_port.open(m_loop.sockets(), m_options.local,
                           [this](const endpoint &, std::span<const std::byte> bytes) {
                               m_callers.onPacket(bytes, std::chrono::steady_clock::now());
                           });
    }

    /** Returns whether no flow was broken and no answer was misdelivered. */
    bool run()
    {
        printEvent("started");
        m_nextReport = m_started + m_options.reportInterval;
        m_loop.setStopOnSignal(false); // Open flows still get their answers.
        m_loop.run([this](time_point now) { return wake(now); });
        Json::Value summary = callerSummary(m_callers);
        printEvent("summary", summary);
        summary.removeMember("services");
        summary.removeMember("spread");
        printEvent("totals", summary);
        const flow_counters total = m_callers.total();
        return total.broken() == 0 && total.misdelivered == 0;
    }

private:
    time_point wake(time_point now)
    {
        if (m_loop.wasSignalled() || now >= m_started + m_options.length) {
            stopTraffic(now);
        }
        m_callers.onTimer(now);
        for (const std::vector<std::byte> &packet : m_callers.takePackets()) {
            m_port.send(m_options.fabric, packet);
        }
        for (const caller_event &event : m_callers.takeEvents()) {
            printJsonLine(callerEventFields(event));
        }
        if (now >= m_nextReport) {
            m_nextReport += m_options.reportInterval;
            printEvent("progress", progress(now));
        }
        if (m_stopping && (m_callers.isIdle() || now >= m_endBy)) {
            m_loop.stop();
        }
        return m_callers.nextTimer();
    }

    void stopTraffic(time_point now)
    {
        if (!m_stopping) {
            m_stopping = true;
            m_endBy = now + LongestEnding;
            m_callers.stop(now);
        }
    }

    Json::Value progress(time_point now) const
    {
        Json::Value value = callerSummary(m_callers);
        value.removeMember("services");
        value.removeMember("spread");
        value["at_ms"] = Json::Int64(
                std::chrono::duration_cast<std::chrono::milliseconds>(now - m_started).count());
        return value;
    }

    caller_options m_options;
    time_point m_started;
    caller_model m_callers;
    event_loop m_loop;
    udp_port m_port;
    time_point m_nextReport;
    time_point m_endBy = time_point::max();
    bool m_stopping = false;
};

bool parseOptions(int argc, const char **argv, caller_options &options, int &exitCode)
{
    caller_settings &settings = options.settings;
    settings.firstAddress = ip_address::fromV4(0x0a090001); // 10.9.0.1
    std::uint64_t addresses = settings.addressCount;
    std::uint64_t deadline = 0;
    option_parser parser("Simulates many callers of services behind the fabric.");
    parser.addEndpoint("local", options.local, "UDP address of this program");
    parser.addEndpoint("fabric", options.fabric, "UDP address of the fabric for callers");
    parser.addText("name", settings.name, "start of every request id");
    parser.addList("service", settings.services,
                   "service as NAME=ADDRESS:PORT/tcp or /udp; may be repeated");
    parser.addList("traffic", settings.traffic,
                   "KIND:SERVICE:AMOUNT; kind long (flows held), short, upload or hold (flows per "
                   "second); may be repeated");
    parser.addAddress("first-address", settings.firstAddress, "first address of the callers");
    parser.addInteger("addresses", addresses, "number of caller addresses");
    parser.addInteger("seed", options.seed, "seed of arrivals and sequence numbers");
    parser.addMilliseconds("length-ms", options.length, "how long new flows are started");
    parser.addMilliseconds("report-ms", options.reportInterval, "distance of progress events");
    parser.addMilliseconds("ping-ms", settings.pingInterval, "distance of long flows' messages");
    parser.addNumber("long-rate", settings.longFlowRate, "new long flows per second");
    parser.addInteger("upload-bytes", settings.uploadBytes, "size of one upload");
    parser.addInteger("deadline-ms", deadline, "deadline sent with every request; 0: none");
    const bool parsed = parser.parse(argc, argv);
    exitCode = parser.exitCode();
    settings.addressCount = static_cast<std::uint32_t>(addresses);
    if (deadline > 0) {
        settings.deadline = std::chrono::milliseconds(deadline);
    }
    return parsed;
}

} // namespace

} // namespace ebonyway::standins

int main(int argc, const char **argv)
{
    using namespace ebonyway;
    standins::caller_options options;
    int exitCode = 0;
    if (!standins::parseOptions(argc, argv, options, exitCode)) {
        return exitCode;
    }
    standins::caller_process process(options);
    const status opened = process.open();
    if (!isOk(opened)) {
        std::cerr << describe(errorOf(opened)) << '\n';
        return 1;
    }
    return process.run() ? 0 : 3;
}
