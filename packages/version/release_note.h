#pragma once

#include "core/result.h"
#include "version/intent.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ebonyway {

/** Limits of a release note and of the intent that the notes add up to. */
constexpr std::size_t MaxNoteBytes = 1'000'000; ///< The platform stores values of up to 1 MB.
constexpr std::size_t MaxServices = 4096;
constexpr std::size_t MaxBackendServers = 16384;
constexpr std::size_t MaxFailureDomains = 64;
constexpr std::size_t MaxAddressesPerService = 16;
constexpr std::size_t MaxNameLength = 63;
constexpr std::size_t MaxTitleLength = 200;
constexpr std::uint32_t MaxWeight = 10000;
constexpr std::uint32_t MaxConnections = 1'000'000;
constexpr std::uint32_t MaxRequestSlots = 65535;
constexpr std::chrono::seconds MinIdleTimeout{1};
constexpr std::chrono::seconds MaxIdleTimeout{24 * 3600};
constexpr std::chrono::seconds MinObjectiveWindow{3600};
constexpr std::chrono::seconds MaxObjectiveWindow{90 * 24 * 3600};

/** A service in a release note. Fields that the note does not name are empty. */
struct service_entry
{
    std::string name;
    std::optional<std::vector<ip_address>> addresses;
    std::optional<transport_protocol> protocol;
    std::optional<std::uint16_t> port;
    std::optional<std::chrono::seconds> idleTimeout;
    std::optional<double> goodFlowRatio;
    std::optional<std::chrono::seconds> objectiveWindow;
};

/** A backend server in a release note. Fields that the note does not name are empty. */
struct backend_server_entry
{
    std::string name;
    std::optional<std::string> service;
    std::optional<std::string> failureDomain;
    std::optional<endpoint> tunnel;
    std::optional<endpoint> health;
    std::optional<std::uint32_t> weight;
    std::optional<std::uint32_t> connectionLimit;
    std::optional<std::uint32_t> slotLimit;
    std::optional<bool> draining;
};

/** A failure domain in a release note. */
struct failure_domain_entry
{
    std::string name;
    std::optional<bool> inService;
};

/** The entries of the section `added` or `changed`. */
struct note_section
{
    std::vector<service_entry> services;
    std::vector<backend_server_entry> backendServers;
    std::vector<failure_domain_entry> failureDomains;
};

/** The names in the section `withdrawn`. */
struct note_withdrawals
{
    std::vector<std::string> services;
    std::vector<std::string> backendServers;
    std::vector<std::string> failureDomains;
};

/** A parsed release note. Its entries are well-formed but not yet checked against an intent. */
struct release_note
{
    note_number number;
    std::string title;
    std::string author;
    note_section added;
    note_section changed;
    note_withdrawals withdrawn;
};

/**
 * Parses a release note. Fails with LimitExceeded if the text is too long, otherwise with
 * InvalidInput, naming the place, the value and the remedy.
 */
result<release_note> parseReleaseNote(const std::string &text);

/** Returns the digest of a note in the chain. */
note_digest digestNote(const note_digest &previous, std::string_view text);

/** Returns a digest as 64 hexadecimal digits. */
std::string digestText(const note_digest &digest);

} // namespace ebonyway
