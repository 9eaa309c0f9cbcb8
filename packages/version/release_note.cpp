#include "version/release_note.h"

#include "core/json_text.h"
#include "version/note_fields.h"

#include <openssl/evp.h>

#include <memory>

namespace ebonyway {

namespace {

constexpr std::uint64_t MaxNoteNumber = 9'999'999'999; ///< Keys have ten digits.

/** Reads the sections of one note; the first fault stops it. */
class note_parser
{
public:
    result<release_note> parse(const Json::Value &root)
    {
        release_note note;
        note_fields fields(root, "", {"note", "title", "author", "added", "changed", "withdrawn"},
                           m_fault);
        fields.require({"note", "title", "author"});
        note.number = {fields.number("note", {1, MaxNoteNumber}).value_or(0)};
        note.title = fields.text("title", MaxTitleLength).value_or("");
        note.author = fields.text("author", MaxTitleLength).value_or("");
        if (const Json::Value *added = fields.object("added")) {
            note.added = readSection(*added, "added", true);
        }
        if (const Json::Value *changed = fields.object("changed")) {
            note.changed = readSection(*changed, "changed", false);
        }
        if (const Json::Value *withdrawn = fields.object("withdrawn")) {
            note.withdrawn = readWithdrawals(*withdrawn);
        }
        if (m_fault) {
            return *m_fault;
        }
        return note;
    }

private:
    /** Calls `read` with each object of a list and its place. */
    template <typename Entry, typename Read>
    std::vector<Entry> readList(note_fields &section, const char *key, Read read)
    {
        std::vector<Entry> entries;
        const Json::Value *list = section.array(key);
        if (list == nullptr) {
            return entries;
        }
        for (Json::ArrayIndex i = 0; i < list->size() && !m_fault; ++i) {
            entries.push_back(
                    read((*list)[i], section.placeOf(key) + "[" + std::to_string(i) + "]"));
        }
        return entries;
    }

    note_section readSection(const Json::Value &value, const std::string &place, bool added)
    {
        note_section section;
        note_fields fields(value, place, {"services", "backend_servers", "failure_domains"},
                           m_fault);
        section.services = readList<service_entry>(
                fields, "services", [this, added](const Json::Value &item, const std::string &at) {
                    return readService(item, at, added);
                });
        section.backendServers = readList<backend_server_entry>(
                fields, "backend_servers",
                [this, added](const Json::Value &item, const std::string &at) {
                    return readBackendServer(item, at, added);
                });
        section.failureDomains = readList<failure_domain_entry>(
                fields, "failure_domains",
                [this, added](const Json::Value &item, const std::string &at) {
                    return readFailureDomain(item, at, added);
                });
        return section;
    }

    service_entry readService(const Json::Value &item, const std::string &place, bool added)
    {
        note_fields fields(item, place,
                           {"name", "addresses", "protocol", "port", "idle_timeout", "objective"},
                           m_fault);
        fields.require({"name"});
        if (added) {
            fields.require({"addresses", "protocol", "port"});
        }
        service_entry entry;
        entry.name = fields.name("name").value_or("");
        entry.addresses = fields.addresses("addresses", MaxAddressesPerService);
        entry.protocol = fields.protocol("protocol");
        entry.port = fields.number("port", {1, 65535});
        entry.idleTimeout = fields.duration("idle_timeout", {MinIdleTimeout, MaxIdleTimeout});
        if (const Json::Value *objective = fields.object("objective")) {
            note_fields inner(*objective, place + ".objective", {"good_flow_ratio", "window"},
                              m_fault);
            entry.goodFlowRatio = inner.ratio("good_flow_ratio");
            entry.objectiveWindow =
                    inner.duration("window", {MinObjectiveWindow, MaxObjectiveWindow});
        }
        return entry;
    }

    backend_server_entry readBackendServer(const Json::Value &item, const std::string &place,
                                           bool added)
    {
        note_fields fields(item, place,
                           {"name", "service", "tunnel", "health", "failure_domain", "weight",
                            "connections", "slots", "draining"},
                           m_fault);
        fields.require({"name"});
        if (added) {
            fields.require({"service", "tunnel", "failure_domain"});
        }
        backend_server_entry entry;
        entry.name = fields.name("name").value_or("");
        entry.service = fields.name("service");
        entry.failureDomain = fields.name("failure_domain");
        entry.tunnel = fields.address("tunnel");
        entry.health = fields.address("health");
        entry.weight = fields.number("weight", {0, MaxWeight});
        entry.connectionLimit = fields.number("connections", {1, MaxConnections});
        entry.slotLimit = fields.number("slots", {1, MaxRequestSlots});
        entry.draining = fields.flag("draining");
        return entry;
    }

    failure_domain_entry readFailureDomain(const Json::Value &item, const std::string &place,
                                           bool added)
    {
        note_fields fields(item, place, {"name", "in_service"}, m_fault);
        fields.require({"name"});
        if (!added) {
            fields.require({"in_service"});
        }
        failure_domain_entry entry;
        entry.name = fields.name("name").value_or("");
        entry.inService = fields.flag("in_service");
        return entry;
    }

    note_withdrawals readWithdrawals(const Json::Value &value)
    {
        note_fields fields(value, "withdrawn", {"services", "backend_servers", "failure_domains"},
                           m_fault);
        return {fields.names("services"), fields.names("backend_servers"),
                fields.names("failure_domains")};
    }

    std::optional<error> m_fault;
};

} // namespace

result<release_note> parseReleaseNote(const std::string &text)
{
    if (text.size() > MaxNoteBytes) {
        return error{error_kind::LimitExceeded,
                     "the release note has " + std::to_string(text.size()) + " bytes; the limit is "
                             + std::to_string(MaxNoteBytes),
                     "Split it into several release notes."};
    }
    const result<Json::Value> root = parseJsonObject(text);
    if (!isOk(root)) {
        return errorOf(root);
    }
    return note_parser().parse(valueOf(root));
}

note_digest digestNote(const note_digest &previous, std::string_view text)
{
    note_digest digest{};
    const std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> context(EVP_MD_CTX_new(),
                                                                      EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    EVP_DigestUpdate(context.get(), previous.data(), previous.size());
    EVP_DigestUpdate(context.get(), text.data(), text.size());
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return digest;
}

std::string digestText(const note_digest &digest)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : digest) {
        text += Digits[byte >> 4];
        text += Digits[byte & 0xf];
    }
    return text;
}

} // namespace ebonyway
