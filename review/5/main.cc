// Case 5: servers are replaced while a zone is evacuated; then it is taken back, its servers cold.
// Do cold servers get more requests than they bear? With VARIANT=many ten instances have only two
// servers, which are replaced one after the other while a zone is evacuated.
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

bool isVariantMany()
{
    const char *variant = std::getenv("VARIANT");
    return variant && std::string(variant) == "many";
}

/** Replaces the two servers that serve while a zone is evacuated. Returns the ids of the new ones. */
std::vector<std::string> replaceAllUsable(deployment &played, recorder &record)
{
    std::vector<std::string> added;
    for (const std::size_t i : {std::size_t{1}, std::size_t{2}}) {
        const server_options &old = played.all[i];
        server_options fresh = old;
        fresh.id.back() = old.id.back() == '0' ? '1' : '0';
        fresh.host = static_cast<std::uint32_t>(ServerNetwork + 100 + i);
        if (!played.hosts.start(fresh, true) || !played.hosts.drain(old.id)) {
            return {};
        }
        added.push_back(fresh.id);
        record.write("server %s takes the place of %s, which drains", fresh.id.c_str(),
                     old.id.c_str());
        std::this_thread::sleep_for(milliseconds(760));
    }
    return added;
}

/**
 * A release replaces four of nine servers, the first of them in the evacuated zone; then the zone is
 * taken back. Returns the ids of the zone's servers.
 */
std::vector<std::string> takeBackAfterReplacement(deployment &played, recorder &record,
                                                  time_point takenBack, const std::string &zone)
{
    // A new server is cold for 2 s and says so when it checks in, every 1.2 s. The third check-in of
    // the first one, which says that it is warm, comes 60 ms after the start of the last one.
    constexpr milliseconds Gap{780};
    constexpr milliseconds LastStart{130};
    std::vector<std::string> inZone;
    for (std::size_t i = 0; i < played.options.serversPerZone; ++i) {
        inZone.push_back(played.all[i].id);
    }
    const std::size_t replaced[] = {1, 3, 4, 6};
    for (std::size_t step = 0; step < std::size(replaced) && hasTrouble(); ++step) {
        const server_options &old = played.all[replaced[step]];
        server_options fresh = old;
        fresh.id.back() = old.id.back() == '0' ? '1' : '0';
        fresh.host = static_cast<std::uint32_t>(ServerNetwork + 100 + step);
        fresh.phase = ServerHeartbeat;
        sleepUntil(takenBack - LastStart - Gap * (std::size(replaced) - 1 - step));
        if (!played.hosts.start(fresh, true) || !played.hosts.drain(old.id)) {
            return {};
        }
        if (step == 0) {
            inZone[replaced[step]] = fresh.id;
        }
        record.write("server %s takes the place of %s in %s, which drains", fresh.id.c_str(),
                     old.id.c_str(), old.zone.c_str());
    }
    sleepUntil(takenBack - milliseconds(20));
    for (const std::string &id : inZone) {
        // "The zone's hosts may have become cold shortly before"; they say so when they check in.
        played.hosts.chill(id);
    }
    sleepUntil(takenBack);
    played.registry.remove("evacuations", zone);
    record.write("zone %s is taken back; its servers are cold", zone.c_str());
    return inZone;
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
    options.zones = {"kushiro-depot", "akkeshi-shed", "nemuro-office"};
    options.requestsPerSecond = 375;
    options.desiredState = desiredState(ColdPerSecond);
    options.server.service = "desk";
    options.server.work = milliseconds(20);
    if (isVariantMany()) {
        // Ten instances, and four servers of which two are in the first zone.
        options.requestsPerSecond = 75;
        options.instancesPerZone = 3;
        options.serversPerZone = 1;
        options.extra = 1;
    }
    deployment played(options, *used, record);
    if (!played.start()) {
        record.write("the instances did not start");
        return CouldNotRun;
    }
    const time_point start = steady::now();
    const std::string zone = options.zones.front();
    sleepUntil(start + std::chrono::seconds(6));
    played.registry.put("evacuations", zone, "{}");
    record.write("zone %s is evacuated", zone.c_str());

    std::vector<std::string> watched;
    if (!isVariantMany()) {
        const time_point takenBack = start + std::chrono::seconds(14);
        watched = takeBackAfterReplacement(played, record, takenBack, zone);
    } else {
        sleepUntil(start + std::chrono::seconds(10));
        watched = {played.all[1].id, played.all[2].id};
        if (hasTrouble()) {
            watched = replaceAllUsable(played, record);
        }
    }
    if (watched.empty()) {
        return CouldNotRun;
    }
    sleepUntil(start + std::chrono::seconds(20));
    played.callers.setSending(false);
    std::this_thread::sleep_for(std::chrono::seconds(2));

    std::size_t most = 0;
    for (const std::string &id : watched) {
        const std::size_t here = mostInOneSecond(played, id);
        record.write("cold server %s: at most %zu requests in one second, bound %zu", id.c_str(),
                     here, BoundPerSecond);
        most = std::max(most, here);
    }
    played.writeRecord();
    record.write("most requests in one second at a cold server: %zu; bound: %zu", most,
                 BoundPerSecond);
    return most > BoundPerSecond ? RuleBroken : RuleHeld;
}
