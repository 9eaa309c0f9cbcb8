// Case 8: a zone is taken back, its servers cold, while all instances start again after a kill. Do
// the cold servers get more requests than they bear?
#include "../standin/deployment.hpp"

using namespace review;

namespace {

constexpr double ColdPerSecond = 2;
constexpr auto BoundPerSecond = static_cast<std::size_t>(ColdPerSecond * ColdOver + ColdSlack);

/** The most requests that were sent to a cold server and arrived there inside one second. */
std::size_t mostInOneSecond(const deployment &played, const std::string &server)
{
    std::map<flow_key, time_point> sentAt;
    for (const request_record &one : played.callers.records()) {
        sentAt[one.flow] = one.sentAt;
    }
    std::vector<std::pair<time_point, time_point>> taken; // Arrived, sent.
    for (const arrival &one : played.hosts.arrivals()) {
        if (one.server == server && one.cold && one.opened) {
            taken.emplace_back(one.at, sentAt[one.flow]);
        }
    }
    std::size_t most = 0;
    for (const auto &[end, unused] : taken) {
        const time_point begin = end - std::chrono::seconds(1);
        const auto inside = [begin, last = end](const auto &item) {
            return item.first > begin && item.first <= last && item.second > begin;
        };
        most = std::max<std::size_t>(most, std::count_if(taken.begin(), taken.end(), inside));
    }
    return most;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 4) {
        return CouldNotRun;
    }
    recorder record(argv[3]);
    const auto used = findPorts();
    if (!used) {
        record.write("no free ports");
        return CouldNotRun;
    }
    deployment_options options;
    options.root = argv[1];
    options.folder = argv[2];
    options.zones = {"casa-ain", "casa-sidi", "casa-bouskoura"};
    options.requestsPerSecond = 135;
    options.desiredState = desiredState(ColdPerSecond);
    options.server.service = "desk";
    options.server.work = milliseconds(55);
    deployment played(options, *used, record);
    if (!played.start()) {
        record.write("the instances did not start");
        return CouldNotRun;
    }
    const time_point start = steady::now();
    const std::string zone = options.zones.front();
    std::vector<std::string> inZone;
    for (std::size_t i = 0; i < options.serversPerZone; ++i) {
        inZone.push_back(played.all[i].id);
    }
    sleepUntil(start + std::chrono::seconds(6));
    played.registry.put("evacuations", zone, "{}");
    record.write("zone %s is evacuated", zone.c_str());

    const time_point takenBack = start + std::chrono::seconds(14);
    sleepUntil(takenBack - milliseconds(600));
    if (hasTrouble()) {
        for (std::size_t i = 0; i < played.system.size(); ++i) {
            played.system.signal(i, SIGKILL);
        }
        record.write("all instances are killed");
    }
    sleepUntil(takenBack - milliseconds(20));
    for (const std::string &id : inZone) {
        // "The zone's hosts may have become cold shortly before"; they say so when they check in.
        played.hosts.chill(id);
    }
    sleepUntil(takenBack);
    played.registry.remove("evacuations", zone);
    record.write("zone %s is taken back; its servers are cold", zone.c_str());
    if (hasTrouble()) {
        sleepUntil(takenBack + milliseconds(100));
        for (std::size_t i = 0; i < played.system.size(); ++i) {
            played.system.start(i, false);
        }
        record.write("all instances start again");
    }
    sleepUntil(start + std::chrono::seconds(20));
    played.callers.setSending(false);
    std::this_thread::sleep_for(std::chrono::seconds(2));

    std::size_t most = 0;
    for (const std::string &id : inZone) {
        const std::size_t here = mostInOneSecond(played, id);
        record.write("cold server %s: at most %zu requests in one second, bound %zu", id.c_str(),
                     here, BoundPerSecond);
        most = std::max(most, here);
    }
    const std::size_t served =
            played.countServed(start, start + std::chrono::seconds(20));
    played.writeRecord();
    record.write("served: %zu; most requests in one second at a cold server: %zu; bound: %zu",
                 served, most, BoundPerSecond);
    return most > BoundPerSecond ? RuleBroken : RuleHeld;
}
