#include "process/settings.h"

#include "core/settings_reader.h"
#include "core/text_file.h"

#include <cctype>

namespace ebonyway {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t MaxInstanceId = 0xffff'ffff;
constexpr std::uint64_t HighestBasePort = 65'535 - static_cast<std::uint64_t>(port_offset::Status);
constexpr std::size_t LeastKeyBytes = 16;
constexpr std::uint64_t MostTrackedFlows = 2'000'000;

int hexDigit(char character)
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const int lower = std::tolower(static_cast<unsigned char>(character));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

result<std::vector<std::byte>> parseKey(const std::string &file, std::string text)
{
    const error malformed{error_kind::InvalidInput,
                          file + ": the deployment key is not hexadecimal or too short",
                          "Write at least 32 hexadecimal digits, for example from "
                          "`openssl rand -hex 32`."};
    while (!text.empty() && std::isspace(static_cast<unsigned char>(text.back())) != 0) {
        text.pop_back();
    }
    if (text.size() % 2 != 0 || text.size() < 2 * LeastKeyBytes) {
        return malformed;
    }
    std::vector<std::byte> key;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const int high = hexDigit(text[i]);
        const int low = hexDigit(text[i + 1]);
        if (high < 0 || low < 0) {
            return malformed;
        }
        key.push_back(static_cast<std::byte>(high * 16 + low));
    }
    return key;
}

void readLimits(settings_reader reader, settings &values, settings_reader &root)
{
    values.trackedFlows = reader.integerOr("tracked_flows", 1'000, MostTrackedFlows, 300'000);
    values.probationFlows = reader.integerOr("probation_flows", 1'000, MostTrackedFlows, 65'536);
    values.trafficThreads = static_cast<unsigned>(reader.integerOr("traffic_threads", 1, 16, 1));
    root.adopt(reader);
}

void readTiming(settings_reader reader, settings &values, settings_reader &root)
{
    values.freshnessLimit = reader.durationOr("freshness_limit", milliseconds(500),
                                              milliseconds(12'000), milliseconds(2000));
    values.stopGrace = reader.durationOr("stop_grace", milliseconds(0), milliseconds(600'000),
                                         milliseconds(10'000));
    root.adopt(reader);
}

void readLog(settings_reader reader, settings &values, settings_reader &root)
{
    values.logLevel = reader.choice("level", {"debug", "info", "warn", "error"}, "info");
    if (reader.has("file")) {
        values.logFile = reader.text("file");
    }
    root.adopt(reader);
}

struct parsed_settings
{
    settings values;
    std::string keyFile;
};

result<parsed_settings> parseAll(const std::string &file, const std::string &text)
{
    const result<Json::Value> root = parseSettingsText(file, text);
    if (!isOk(root)) {
        return errorOf(root);
    }
    settings_reader reader(file, "", valueOf(root));
    parsed_settings parsed;
    settings &values = parsed.values;
    values.instance.value =
            static_cast<std::uint32_t>(reader.integer("instance_id", 1, MaxInstanceId));
    values.failureDomain = reader.text("failure_domain");
    values.address = reader.address("address");
    values.basePort = static_cast<std::uint16_t>(reader.integer("base_port", 1, HighestBasePort));
    values.fabric = reader.addressWithPort("fabric");
    values.platform = reader.addressWithPort("platform");
    values.seeds = reader.addressesWithPort("seeds");
    parsed.keyFile = reader.text("deployment_key_file");
    readLimits(reader.object("limits"), values, reader);
    readTiming(reader.object("timing"), values, reader);
    readLog(reader.object("log"), values, reader);
    const status outcome = reader.finish();
    if (!isOk(outcome)) {
        return errorOf(outcome);
    }
    return parsed;
}

} // namespace

endpoint settings::listenOn(port_offset offset) const
{
    return {address, static_cast<std::uint16_t>(basePort + static_cast<std::uint16_t>(offset))};
}

endpoint peerPort(const endpoint &gossip, port_offset offset)
{
    const auto base = gossip.port - static_cast<std::uint16_t>(port_offset::Gossip);
    return {gossip.address, static_cast<std::uint16_t>(base + static_cast<std::uint16_t>(offset))};
}

result<settings> parseSettings(const std::string &file, const std::string &text)
{
    const result<parsed_settings> parsed = parseAll(file, text);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    return valueOf(parsed).values;
}

result<settings> readSettings(const std::string &file)
{
    const result<std::string> text = readTextFile(file);
    if (!isOk(text)) {
        return errorOf(text);
    }
    result<parsed_settings> parsed = parseAll(file, valueOf(text));
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    const std::string &keyFile = valueOf(parsed).keyFile;
    const result<std::string> keyText = readTextFile(keyFile);
    if (!isOk(keyText)) {
        return error{error_kind::NotFound,
                     file + ": key 'deployment_key_file' has the value \"" + keyFile
                             + "\", which cannot be read",
                     "Create the file with `openssl rand -hex 32` and copy it to every instance."};
    }
    const result<std::vector<std::byte>> key = parseKey(keyFile, valueOf(keyText));
    if (!isOk(key)) {
        return errorOf(key);
    }
    valueOf(parsed).values.deploymentKey = valueOf(key);
    return valueOf(parsed).values;
}

} // namespace ebonyway
