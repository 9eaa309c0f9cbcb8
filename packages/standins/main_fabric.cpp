#include "standins/event_loop.h"
#include "standins/fabric_control.h"
#include "standins/fabric_model.h"
#include "standins/json_line.h"
#include "standins/option_parser.h"
#include "standins/udp_port.h"

#include <iostream>
#include <string>

namespace ebonyway::standins {

namespace {

struct fabric_options
{
    endpoint callers;
    endpoint instancePort;
    endpoint control;
    std::uint64_t seed = 1;
    std::vector<fabric_instance> instances;
    fabric_disturbance disturbance;
};

/** Connects the fabric model to its three UDP ports. */
class fabric_process
{
public:
    explicit fabric_process(const fabric_options &options)
        : m_fabric(options.seed)
    {
        m_fabric.setDisturbance(options.disturbance);
        for (const fabric_instance &instance : options.instances) {
            m_fabric.addInstance(instance);
        }
    }

    status open(const fabric_options &options)
    {
        status opened = m_callers.open(
                m_loop.sockets(), options.callers,
                [this](const endpoint &source, std::span<const std::byte> bytes) {
                    m_fabric.onCallerDatagram(source, bytes, std::chrono::steady_clock::now());
                });
        if (!isOk(opened)) {
            return opened;
        }
        opened = m_instances.open(m_loop.sockets(), options.instancePort,
                                  [this](const endpoint &source, std::span<const std::byte> bytes) {
                                      m_fabric.onInstanceDatagram(source, bytes,
                                                                  std::chrono::steady_clock::now());
                                  });
        if (!isOk(opened) || options.control.port == 0) {
            return opened;
        }
        return m_control.open(m_loop.sockets(), options.control,
                              [this](const endpoint &source, std::span<const std::byte> bytes) {
                                  onCommand(source, bytes);
                              });
    }

    void run()
    {
        printEvent("started");
        m_loop.run([this](time_point now) {
            for (const fabric_delivery &delivery : m_fabric.takeDue(now)) {
                udp_port &port = delivery.side == fabric_side::Callers ? m_callers : m_instances;
                port.send(delivery.to, delivery.bytes);
            }
            return m_fabric.nextTimer();
        });
        Json::Value summary = counters();
        summary["event"] = "summary";
        printJsonLine(summary);
    }

private:
    void onCommand(const endpoint &source, std::span<const std::byte> bytes)
    {
        std::string line(reinterpret_cast<const char *>(bytes.data()), bytes.size());
        line.resize(line.ends_with('\n') ? line.size() - 1 : line.size());
        const std::string reply =
                line == "stats" ? formatJsonLine(counters()) : runFabricCommand(m_fabric, line);
        const std::string text = reply + "\n";
        m_control.send(source, std::as_bytes(std::span(text.data(), text.size())));
        Json::Value event;
        event["command"] = line;
        event["reply"] = reply;
        printEvent("command", event);
    }

    Json::Value counters() const
    {
        const fabric_counters &counted = m_fabric.counters();
        Json::Value value;
        value["from_callers"] = Json::UInt64(counted.fromCallers);
        value["from_instances"] = Json::UInt64(counted.fromInstances);
        value["dropped"] = Json::UInt64(counted.dropped);
        value["cut_off"] = Json::UInt64(counted.cutOff);
        value["unknown_caller"] = Json::UInt64(counted.unknownCaller);
        value["faulty"] = Json::UInt64(counted.faulty);
        for (const auto &[id, packets] : m_fabric.sprayed()) {
            value["sprayed"][std::to_string(id.value)] = Json::UInt64(packets);
        }
        return value;
    }

    event_loop m_loop;
    fabric_model m_fabric;
    udp_port m_callers;
    udp_port m_instances;
    udp_port m_control;
};

bool parseOptions(int argc, const char **argv, fabric_options &options, int &exitCode)
{
    option_parser parser("Simulates a fabric that sprays every packet over all live instances.");
    parser.addEndpoint("callers", options.callers, "UDP address for callers");
    parser.addEndpoint("instances", options.instancePort, "UDP address for answers of instances");
    parser.addEndpoint("control", options.control, "UDP address for commands, one per datagram");
    parser.addInteger("seed", options.seed, "seed of the spray and the disturbances");
    parser.addList("instance", options.instances,
                   "instance as id=ADDRESS:PORT@failure-domain; may be repeated");
    parser.addNumber("drop", options.disturbance.dropRatio, "share of packets lost, 0 to 1");
    parser.addMilliseconds("delay-ms", options.disturbance.delay, "delay of every packet");
    parser.addNumber("reorder", options.disturbance.reorderRatio,
                     "share of packets held back, 0 to 1");
    parser.addMilliseconds("reorder-ms", options.disturbance.reorderDelay,
                           "how long packets are held back");
    const bool parsed = parser.parse(argc, argv);
    exitCode = parser.exitCode();
    return parsed;
}

} // namespace

} // namespace ebonyway::standins

int main(int argc, const char **argv)
{
    using namespace ebonyway;
    standins::fabric_options options;
    int exitCode = 0;
    if (!standins::parseOptions(argc, argv, options, exitCode)) {
        return exitCode;
    }
    standins::fabric_process process(options);
    const status opened = process.open(options);
    if (!isOk(opened)) {
        std::cerr << describe(errorOf(opened)) << '\n';
        return 1;
    }
    process.run();
    return 0;
}
