// Case 4: a server is replaced, and the id of the new one has the same 32-bit digest as the id of a
// third one that serves. Do the open flows of that one survive?
#include "../standin/deployment.hpp"

#include <unordered_map>

using namespace review;

namespace {

std::uint32_t rotated(std::uint32_t value, int bits)
{
    return (value << bits) | (value >> (32 - bits));
}

// XXH32 of the eight bytes of an id, as `tokenOf` in packages/forwarding/version/directory.cpp.
std::uint32_t digestOf(std::uint64_t id)
{
    std::uint32_t hash = 374'761'393U + 8;
    for (const auto lane : {static_cast<std::uint32_t>(id), static_cast<std::uint32_t>(id >> 32)}) {
        hash = rotated(hash + lane * 3'266'489'917U, 17) * 668'265'263U;
    }
    hash = (hash ^ (hash >> 15)) * 2'246'822'519U;
    hash = (hash ^ (hash >> 13)) * 3'266'489'917U;
    return hash ^ (hash >> 16);
}

/** Draws ids as the platform does, until two have the same digest. The lower one is first. */
std::pair<std::uint64_t, std::uint64_t> drawTwins()
{
    std::mt19937_64 random{std::random_device{}()};
    std::unordered_map<std::uint32_t, std::uint64_t> drawn;
    for (;;) {
        const std::uint64_t id = random() & 0xffffffffffULL; // Ten hexadecimal digits.
        const auto [found, isNew] = drawn.emplace(digestOf(id), id);
        if (!isNew && found->second != id) {
            return std::minmax(found->second, id);
        }
    }
}

std::string idText(std::uint64_t id)
{
    char text[32];
    std::snprintf(text, sizeof(text), "i-%010llx", static_cast<unsigned long long>(id));
    return text;
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
    const auto [lower, higher] = drawTwins();
    deployment_options options;
    options.root = argv[1];
    options.folder = argv[2];
    options.zones = {"kushiro-depot", "akkeshi-shed", "nemuro-office"};
    options.requestsPerSecond = 12; // New flows; each carries several requests.
    options.requestsPerFlow = 8;
    options.pause = milliseconds(700);
    options.desiredState = desiredState(5);
    options.server.service = "desk";
    deployment played(options, *used, record);
    played.all.front().id = idText(higher);
    const server_options old = played.all.front();
    const server_options replaced = played.all[options.serversPerZone];
    server_options added = replaced;
    added.id = idText(lower);
    added.host = static_cast<std::uint32_t>(ServerNetwork + played.all.size());
    if (!played.start()) {
        record.write("the instances did not start");
        return CouldNotRun;
    }
    const time_point start = steady::now();
    sleepUntil(start + std::chrono::seconds(10));
    if (hasTrouble()) {
        if (!played.hosts.start(added, true) || !played.hosts.drain(replaced.id)) {
            return CouldNotRun;
        }
        record.write("server %s takes the place of %s in %s; server %s in %s serves on",
                     added.id.c_str(), replaced.id.c_str(), added.zone.c_str(), old.id.c_str(),
                     old.zone.c_str());
    }
    sleepUntil(start + std::chrono::seconds(20));
    played.callers.setSending(false);
    std::this_thread::sleep_for(std::chrono::seconds(8));

    // Flows whose handshake the old server has seen to its end.
    std::set<flow_key> open;
    for (const arrival &one : played.hosts.arrivals()) {
        if (one.server == old.id && one.opened) {
            open.insert(one.flow);
        }
    }
    std::size_t ofOld = 0;
    std::size_t broken = 0;
    for (const request_record &one : played.callers.records()) {
        ofOld += one.flowHost == old.host ? 1 : 0;
        if (one.resetBy == 0 || one.resetBy == one.flowHost || !open.contains(one.flow)) {
            continue;
        }
        if (++broken <= 5) {
            record.write("FLOW: request %s at %.3f s: its flow is open at %s and was reset by %s",
                         one.id.c_str(), record.seconds(one.sentAt),
                         addressText(one.flowHost).c_str(), addressText(one.resetBy).c_str());
        }
    }
    played.writeRecord();
    record.write("requests in flows of the old server: %zu; flows reset by another one: %zu", ofOld,
                 broken);
    if (ofOld == 0) {
        return CouldNotRun;
    }
    return broken > 0 ? RuleBroken : RuleHeld;
}
