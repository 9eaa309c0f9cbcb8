#include "ebonyway/check_state_command.h"

#include "core/json_text.h"
#include "platform/state_document.h"

#include <iterator>

namespace ebonyway {

namespace {

using platform::state_document;

const char *severityName(state_severity severity)
{
    return severity == state_severity::Error ? "error" : "warning";
}

const char *changeName(state_change::change_kind kind)
{
    switch (kind) {
    case state_change::change_kind::Added:
        return "added";
    case state_change::change_kind::Removed:
        return "removed";
    case state_change::change_kind::Changed:
        return "changed";
    }
    return "";
}

Json::Value toJson(const state_finding &finding)
{
    Json::Value item;
    item["severity"] = severityName(finding.severity);
    item["code"] = finding.code;
    item["place"] = finding.place;
    item["message"] = finding.message;
    item["remedy"] = finding.remedy;
    return item;
}

Json::Value toJson(const state_change &change)
{
    Json::Value item;
    item["change"] = changeName(change.kind);
    item["subject"] = change.subject;
    item["name"] = change.name;
    if (change.kind == state_change::change_kind::Changed) {
        item["field"] = change.field;
        item["before"] = change.before;
        item["after"] = change.after;
    }
    item["ends_flows"] = change.endsFlows;
    item["text"] = change.text;
    return item;
}

/** Reads the state in force, which must be free of errors to be compared with. */
result<state_draft> readInForce(const std::string &path, const command_edges &edges)
{
    const result<std::string> text = edges.readFile(path);
    if (!isOk(text)) {
        return errorOf(text);
    }
    const state_document document = platform::readStateDocument(valueOf(text));
    if (!document.findings.empty()) {
        const state_finding &first = document.findings.front();
        return error{error_kind::InvalidInput, path + ": " + first.place + ": " + first.message,
                     "Give the document in force, as it was sent to the store."};
    }
    return document.draft;
}

void append(std::vector<state_finding> &findings, std::vector<state_finding> more)
{
    findings.insert(findings.end(), std::make_move_iterator(more.begin()),
                    std::make_move_iterator(more.end()));
}

command_outcome failureOf(const error &failure, bool json)
{
    return failureOutcome(failure, json, exitCodeFor(failure.kind));
}

} // namespace

command_outcome runCheckState(const command_options &options, const command_edges &edges)
{
    const result<std::string> text = edges.readFile(options.arguments.front());
    if (!isOk(text)) {
        return failureOf(errorOf(text), options.json);
    }
    const state_document document = platform::readStateDocument(valueOf(text));
    std::vector<state_finding> findings = document.findings;
    append(findings, checkState(document.draft, platform::stateFieldName));
    std::vector<state_change> changes;
    if (!options.against.empty()) {
        const result<state_draft> inForce = readInForce(options.against, edges);
        if (!isOk(inForce)) {
            return failureOf(errorOf(inForce), options.json);
        }
        append(findings,
               checkSuccession(valueOf(inForce), document.draft, platform::stateFieldName));
        // What could not be decoded would appear as removed.
        if (document.draft.isComplete) {
            changes = compareStates(valueOf(inForce), document.draft);
        }
    }

    Json::Value json;
    json["findings"] = Json::Value(Json::arrayValue);
    json["differences"] = Json::Value(Json::arrayValue);
    std::string shown = findings.empty() ? "No findings.\n" : "";
    bool hasErrors = false;
    for (const state_finding &finding : findings) {
        hasErrors = hasErrors || finding.severity == state_severity::Error;
        shown += std::string(severityName(finding.severity)) + ": " + finding.place + ": "
                 + finding.message + ". " + finding.remedy + "\n";
        json["findings"].append(toJson(finding));
    }
    if (!options.against.empty()) {
        shown += !document.draft.isComplete ? "\nNot compared, as not everything can be decoded.\n"
                 : changes.empty()          ? "\nNo differences.\n"
                                            : "\nDifferences from " + options.against + ":\n";
    }
    for (const state_change &change : changes) {
        shown += "  - " + change.text + "\n";
        json["differences"].append(toJson(change));
    }
    const int exitCode = hasErrors          ? exitCodeFor(error_kind::InvalidInput)
                         : findings.empty() ? 0
                                            : WarningsExitCode;
    return {exitCode, options.json ? indentedJson(json) : shown, ""};
}

} // namespace ebonyway
