#include "ebonyway/operator_commands.h"

#include "core/json_text.h"
#include "ebonyway/check_state_command.h"
#include "process/burn_report.h"
#include "version/release_note.h"
#include "version/route_plan.h"
#include "version/text_table.h"

#include <algorithm>
#include <optional>

namespace ebonyway {

namespace {

/** Attempts to take a failure domain out while other notes are accepted. */
constexpr int OvertakenRetries = 3;

error wrongUsage(const std::string &message, const std::string &command)
{
    return {error_kind::InvalidInput, message, "Run `ebonyway " + command + " --help`."};
}

/** Returns what is wrong with the command line of a known subcommand, if anything. */
std::optional<error> usageFault(const command_options &options)
{
    const std::string &command = options.command;
    const bool changesDomain = command == "take-out" || command == "bring-back";
    const bool needsArgument =
            command == "check" || command == "check-state" || command == "accept" || changesDomain;
    if (options.arguments.size() != (needsArgument ? 1U : 0U)) {
        const char *rule = needsArgument ? " needs exactly one argument" : " takes no argument";
        return wrongUsage(command + rule, command);
    }
    if (changesDomain && options.author.empty()) {
        return wrongUsage("--author is missing", command);
    }
    if (command == "burn" && options.instances.empty()) {
        return wrongUsage("--instance is missing", command);
    }
    return std::nullopt;
}

Json::Value linesJson(const std::vector<std::string> &lines)
{
    Json::Value list(Json::arrayValue);
    for (const std::string &line : lines) {
        list.append(line);
    }
    return list;
}

std::string bulletLines(const std::vector<std::string> &lines)
{
    std::string text;
    for (const std::string &line : lines) {
        text.append("  - ").append(line).append("\n");
    }
    return text;
}

std::string numberText(note_number number)
{
    return std::to_string(number.value);
}

const failure_domain *domainNamed(const intent &current, const std::string &name)
{
    for (const failure_domain &domain : current.failureDomains) {
        if (domain.name == name) {
            return &domain;
        }
    }
    return nullptr;
}

error unknownDomain(const intent &current, const std::string &name)
{
    std::string known;
    for (const failure_domain &domain : current.failureDomains) {
        known += (known.empty() ? "" : ", ") + domain.name;
    }
    return {error_kind::NotFound, "there is no failure domain '" + name + "'",
            "Use one of: " + known + "."};
}

/** Writes the release note that takes a failure domain out or back. */
std::string serviceNote(note_number number, const failure_domain &domain, bool inService,
                        const std::string &author)
{
    Json::Value entry;
    entry["name"] = domain.name;
    entry["in_service"] = inService;
    Json::Value note;
    note["note"] = Json::UInt64(number.value);
    note["title"] = (inService ? "Return " : "Take ") + domain.name
                    + (inService ? " to service" : " out of service");
    note["author"] = author;
    note["changed"]["failure_domains"].append(entry);
    return indentedJson(note);
}

/** Shows the plain values of an object as "name=value" pairs. */
std::string plainValues(const Json::Value &object)
{
    std::string text;
    for (const std::string &name : object.getMemberNames()) {
        const Json::Value &value = object[name];
        if (!value.isObject() && !value.isArray()) {
            text.append(text.empty() ? "" : " ").append(name).append("=");
            text += value.isString() ? value.asString() : shortJson(value);
        }
    }
    return text;
}

} // namespace

int exitCodeFor(error_kind kind)
{
    switch (kind) {
    case error_kind::InvalidInput:
        return 3;
    case error_kind::Conflict:
        return 4;
    case error_kind::NotFound:
        return 5;
    case error_kind::Unavailable:
        return 6;
    case error_kind::OutcomeUnknown:
        return 7;
    case error_kind::LimitExceeded:
        return 8;
    case error_kind::Unauthenticated:
        return 9;
    case error_kind::Internal:
        break;
    }
    return 1;
}

command_outcome failureOutcome(const error &failure, bool json, int exitCode)
{
    if (!json) {
        return {exitCode, "", "ebonyway: " + failure.message + ".\n" + failure.remedy + "\n"};
    }
    Json::Value root;
    root["error"]["kind"] = errorKindName(failure.kind);
    root["error"]["message"] = failure.message;
    root["error"]["remedy"] = failure.remedy;
    return {exitCode, indentedJson(root), ""};
}

operator_commands::operator_commands(platform_store &store, command_edges edges)
    : m_store(store)
    , m_edges(std::move(edges))
{ }

command_outcome operator_commands::run(const command_options &options)
{
    if (options.help) {
        return {0, helpText(options.command), ""};
    }
    if (!isCommand(options.command)) {
        const error failure{error_kind::InvalidInput,
                            options.command.empty()
                                    ? "no command is given"
                                    : "there is no command '" + options.command + "'",
                            "Run `ebonyway --help` for the list of commands."};
        return failureOutcome(failure, options.json, UsageExitCode);
    }
    if (const std::optional<error> fault = usageFault(options)) {
        return failureOutcome(*fault, options.json, UsageExitCode);
    }
    if (options.command == "check-state") {
        return runCheckState(options, m_edges);
    }
    const result<report> outcome = dispatch(options);
    if (!isOk(outcome)) {
        const error &failure = errorOf(outcome);
        return failureOutcome(failure, options.json, exitCodeFor(failure.kind));
    }
    const report &shown = valueOf(outcome);
    return {0, options.json ? indentedJson(shown.json) : shown.text, ""};
}

result<operator_commands::report> operator_commands::dispatch(const command_options &options)
{
    const std::string &command = options.command;
    if (command == "check") {
        return check(options.arguments.front());
    }
    if (command == "accept") {
        return accept(options.arguments.front());
    }
    if (command == "history") {
        return history(options.count);
    }
    if (command == "status") {
        return showStatus(options);
    }
    if (command == "burn") {
        return burn(options);
    }
    return setInService(options, command == "bring-back");
}

note_acceptance operator_commands::makeAcceptance()
{
    return {m_store, {}, m_edges.wait, ++m_edges.seed};
}

platform_notes operator_commands::makeNotes()
{
    return {m_store, {}, m_edges.wait, ++m_edges.seed};
}

result<operator_commands::report> operator_commands::check(const std::string &file)
{
    const result<std::string> text = m_edges.readFile(file);
    if (!isOk(text)) {
        return errorOf(text);
    }
    const result<checked_note> checked = makeAcceptance().check(valueOf(text));
    if (!isOk(checked)) {
        return errorOf(checked);
    }
    const checked_note &note = valueOf(checked);
    report shown;
    shown.text = "Note " + numberText(note.note.number) + " \"" + note.note.title
                 + "\" can be accepted. It would have this effect:\n" + bulletLines(note.effect)
                 + "Accept it with `ebonyway accept " + file + "`.\n";
    shown.json["note"] = Json::UInt64(note.note.number.value);
    shown.json["title"] = note.note.title;
    shown.json["digest"] = digestText(note.digest);
    shown.json["effect"] = linesJson(note.effect);
    return shown;
}

result<operator_commands::report> operator_commands::accept(const std::string &file)
{
    const result<std::string> text = m_edges.readFile(file);
    if (!isOk(text)) {
        return errorOf(text);
    }
    const result<accepted_note> accepted = makeAcceptance().accept(valueOf(text));
    if (!isOk(accepted)) {
        return errorOf(accepted);
    }
    return reportOf(valueOf(accepted));
}

operator_commands::report operator_commands::reportOf(const accepted_note &accepted)
{
    const checked_note &checked = accepted.checked;
    const std::string subject =
            "Note " + numberText(checked.note.number) + " \"" + checked.note.title + "\"";
    report shown;
    shown.text = accepted.acceptedEarlier
                         ? subject + " had already been accepted. Nothing changed.\n"
                         : subject + " is accepted; every instance adopts it within seconds:\n"
                                   + bulletLines(checked.effect);
    shown.json["note"] = Json::UInt64(checked.note.number.value);
    shown.json["accepted_earlier"] = accepted.acceptedEarlier;
    shown.json["effect"] = linesJson(checked.effect);
    return shown;
}

result<operator_commands::report> operator_commands::history(std::uint32_t count)
{
    platform_notes notes = makeNotes();
    const result<std::vector<note_number>> listed = notes.listNotes();
    if (!isOk(listed)) {
        return errorOf(listed);
    }
    text_table table;
    table.addColumn("NOTE", text_table::alignment::Right);
    table.addColumn("AUTHOR");
    table.addColumn("TITLE");
    report shown;
    shown.json["notes"] = Json::Value(Json::arrayValue);
    const std::vector<note_number> &numbers = valueOf(listed);
    for (auto number = numbers.rbegin(); number != numbers.rend() && count > 0; ++number, --count) {
        const result<std::string> text = notes.readNote(*number);
        if (!isOk(text)) {
            return errorOf(text);
        }
        const result<release_note> note = parseReleaseNote(valueOf(text));
        const std::string author = isOk(note) ? valueOf(note).author : "?";
        const std::string title = isOk(note) ? valueOf(note).title : "(cannot be read)";
        table.addRow({numberText(*number), author, title});
        Json::Value item;
        item["note"] = Json::UInt64(number->value);
        item["author"] = author;
        item["title"] = title;
        shown.json["notes"].append(item);
    }
    shown.text = numbers.empty() ? "No release note has been accepted yet.\n" : table.toString();
    return shown;
}

result<operator_commands::report> operator_commands::showStatus(const command_options &options)
{
    const result<route_plan> read = makeNotes().readNewestPlan();
    if (!isOk(read)) {
        return errorOf(read);
    }
    const route_plan &plan = valueOf(read);
    const note_number number = plan.currentIntent().number;
    report shown;
    shown.text = number.value == 0
                         ? "No release note has been accepted yet; instances refuse traffic.\n"
                         : "Note " + numberText(number) + " is in force.\n";
    shown.json["note"] = Json::UInt64(number.value);
    shown.json["digest"] = digestText(plan.currentIntent().digest);
    if (number.value > 0) {
        addFailureDomains(plan, shown);
        addServices(plan, shown);
    }
    addInstances(options, shown);
    return shown;
}

/** Returns what the instances of a failure domain have reported, or null. */
Json::Value operator_commands::domainReport(const std::string &domain)
{
    const auto object = m_store.get("status/" + domain, retry_limits{}.callTimeout);
    if (!isOk(object)) {
        return {};
    }
    const result<Json::Value> parsed = parseJsonObject(valueOf(object).value);
    return isOk(parsed) ? valueOf(parsed) : Json::Value();
}

void operator_commands::addFailureDomains(const route_plan &plan, report &shown)
{
    text_table table;
    for (const char *title :
         {"FAILURE DOMAIN", "STATE", "BACKEND SERVERS", "INSTANCES READY", "NOTE ADOPTED"}) {
        table.addColumn(title);
    }
    const intent &current = plan.currentIntent();
    shown.json["failure_domains"] = Json::Value(Json::arrayValue);
    for (const failure_domain &domain : current.failureDomains) {
        const auto servers =
                std::count_if(current.backendServers.begin(), current.backendServers.end(),
                              [&domain](const backend_server &server) {
                                  return server.failureDomain == domain.id;
                              });
        const Json::Value reported = domainReport(domain.name);
        const bool known = reported.isObject() && reported["members"].isObject();
        const Json::Value ready = known ? reported["members"]["ready"] : Json::Value();
        const Json::Value lowest = known ? reported["lowest_note"] : Json::Value();
        table.addRow({domain.name, domain.inService ? "in service" : "out of service",
                      std::to_string(servers), known ? shortJson(ready.isNull() ? 0 : ready) : "?",
                      lowest.isNull() ? "?" : shortJson(lowest)});
        Json::Value item;
        item["name"] = domain.name;
        item["in_service"] = domain.inService;
        item["backend_servers"] = Json::Int64(servers);
        item["reported"] = reported;
        shown.json["failure_domains"].append(item);
    }
    shown.text += "\n" + table.toString();
}

void operator_commands::addServices(const route_plan &plan, report &shown)
{
    text_table table;
    for (const char *title :
         {"SERVICE", "PORT", "BACKEND SERVERS", "TAKING NEW FLOWS", "DRAINING"}) {
        table.addColumn(title);
    }
    const intent &current = plan.currentIntent();
    shown.json["services"] = Json::Value(Json::arrayValue);
    for (const service &item : current.services) {
        std::uint32_t all = 0;
        std::uint32_t taking = 0;
        std::uint32_t draining = 0;
        for (const backend_server &server : current.backendServers) {
            if (server.service == item.id) {
                ++all;
                taking += acceptsNewFlows(current, server) ? 1 : 0;
                draining += server.draining ? 1 : 0;
            }
        }
        const char *protocol = item.protocol == transport_protocol::Tcp ? "tcp" : "udp";
        table.addRow({item.name, std::to_string(item.port) + "/" + protocol, std::to_string(all),
                      std::to_string(taking), std::to_string(draining)});
        Json::Value entry;
        entry["name"] = item.name;
        entry["port"] = item.port;
        entry["protocol"] = protocol;
        entry["backend_servers"] = all;
        entry["taking_new_flows"] = taking;
        entry["draining"] = draining;
        shown.json["services"].append(entry);
    }
    shown.text += "\n" + table.toString();
}

void operator_commands::addInstances(const command_options &options, report &shown)
{
    shown.text += options.instances.empty() ? "" : "\n";
    for (const endpoint &instance : options.instances) {
        const result<std::string> page = m_edges.readPage(instance, "/status");
        const result<Json::Value> parsed =
                isOk(page) ? parseJsonObject(valueOf(page)) : errorOf(page);
        Json::Value item;
        item["address"] = instance.toString();
        shown.text += "instance " + instance.toString() + ": ";
        if (isOk(parsed)) {
            shown.text += plainValues(valueOf(parsed)) + "\n";
            item["status"] = valueOf(parsed);
        } else {
            shown.text += describe(errorOf(parsed)) + "\n";
            item["error"] = errorOf(parsed).message;
        }
        shown.json["instances"].append(item);
    }
}

result<operator_commands::report> operator_commands::setInService(const command_options &options,
                                                                  bool inService)
{
    const std::string &name = options.arguments.front();
    for (int attempt = 1;; ++attempt) {
        const result<route_plan> plan = makeNotes().readNewestPlan();
        if (!isOk(plan)) {
            return errorOf(plan);
        }
        const intent &current = valueOf(plan).currentIntent();
        const failure_domain *domain = domainNamed(current, name);
        if (domain == nullptr) {
            return unknownDomain(current, name);
        }
        if (domain->inService == inService) {
            report shown;
            shown.text = "Failure domain " + name + " is already "
                         + (inService ? "in service" : "out of service") + " at note "
                         + numberText(current.number) + ". Nothing changed.\n";
            shown.json["note"] = Json::UInt64(current.number.value);
            shown.json["accepted_earlier"] = true;
            return shown;
        }
        const note_number next{current.number.value + 1};
        const result<accepted_note> accepted =
                makeAcceptance().accept(serviceNote(next, *domain, inService, options.author));
        if (isOk(accepted)) {
            return reportOf(valueOf(accepted));
        }
        // A note that was overtaken is certainly not accepted, and its meaning does not change.
        if (errorOf(accepted).kind != error_kind::Conflict || attempt == OvertakenRetries) {
            return errorOf(accepted);
        }
    }
}

/** Adds what one instance has counted. */
status operator_commands::addOutcomes(const endpoint &instance, flow_outcome_log &outcomes)
{
    const result<std::string> page = m_edges.readPage(instance, "/flow_outcomes");
    if (!isOk(page)) {
        return errorOf(page);
    }
    const result<Json::Value> parsed = parseJsonObject(valueOf(page));
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    return outcomes.merge(valueOf(parsed));
}

result<operator_commands::report> operator_commands::burn(const command_options &options)
{
    const result<route_plan> plan = makeNotes().readNewestPlan();
    if (!isOk(plan)) {
        return errorOf(plan);
    }
    flow_outcome_log outcomes;
    std::string missing;
    std::size_t answered = 0;
    for (const endpoint &instance : options.instances) {
        const status added = addOutcomes(instance, outcomes);
        answered += isOk(added) ? 1 : 0;
        if (!isOk(added)) {
            missing.append("\nThe flows of instance ").append(instance.toString());
            missing.append(" are missing: ").append(describe(errorOf(added))).append("\n");
        }
        if (!isOk(added) && options.instances.size() == 1) {
            return errorOf(added);
        }
    }
    if (answered == 0) {
        return error{error_kind::Unavailable, "no instance gave its flow outcomes",
                     "Check the addresses with `ebonyway status`."};
    }
    const auto burnt = makeBurnReport(valueOf(plan).currentIntent(), outcomes, m_edges.now);
    report shown{burnTable(burnt) + missing, burnJson(burnt)};
    shown.json["instances_missing"] = Json::UInt64(options.instances.size() - answered);
    if (!options.svgFile.empty()) {
        const status written = m_edges.writeFile(options.svgFile, burnSvg(burnt));
        if (!isOk(written)) {
            return errorOf(written);
        }
        shown.text += "\nThe image is in " + options.svgFile + ".\n";
    }
    return shown;
}

} // namespace ebonyway
