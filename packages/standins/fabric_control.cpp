#include "standins/fabric_control.h"

#include "standins/fabric_model.h"

#include <functional>
#include <map>
#include <sstream>
#include <vector>

namespace ebonyway::standins {

namespace {

using words = std::vector<std::string>;
using command = std::function<std::string(fabric_model &, const words &)>;

const std::string Ok = "ok";

std::string usageError(const std::string &usage)
{
    return "error: write `" + usage + "`";
}

std::string domainName(const std::string &word)
{
    return word == "-" ? std::string() : word;
}

/** Reads a number of at least 0 and at most the limit. */
bool readNumber(const std::string &text, double limit, double &number)
{
    std::istringstream stream(text);
    const bool complete =
            (stream >> number) && stream.peek() == std::istringstream::traits_type::eof();
    return complete && number >= 0 && number <= limit;
}

duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, std::milli>(milliseconds));
}

/** Longest delay in milliseconds that a command may set. */
constexpr double LongestDelay = 60'000;

std::string addCommand(fabric_model &fabric, const words &arguments)
{
    if (arguments.size() != 1) {
        return usageError("add ID=ADDRESS:PORT@DOMAIN");
    }
    const result<fabric_instance> instance = fabric_instance::parse(arguments[0]);
    if (!isOk(instance)) {
        return "error: " + describe(errorOf(instance));
    }
    fabric.addInstance(valueOf(instance));
    return Ok;
}

std::string removeCommand(fabric_model &fabric, const words &arguments)
{
    double id = 0;
    if (arguments.size() != 1 || !readNumber(arguments[0], 4e9, id)) {
        return usageError("remove ID");
    }
    const bool removed = fabric.removeInstance(instance_id{static_cast<std::uint32_t>(id)});
    return removed ? Ok : "error: there is no instance " + arguments[0];
}

std::string dropCommand(fabric_model &fabric, const words &arguments)
{
    fabric_disturbance disturbance = fabric.disturbance();
    if (arguments.size() != 1 || !readNumber(arguments[0], 1, disturbance.dropRatio)) {
        return usageError("drop RATIO");
    }
    fabric.setDisturbance(disturbance);
    return Ok;
}

std::string delayCommand(fabric_model &fabric, const words &arguments)
{
    double milliseconds = 0;
    if (arguments.size() != 1 || !readNumber(arguments[0], LongestDelay, milliseconds)) {
        return usageError("delay MILLISECONDS");
    }
    fabric_disturbance disturbance = fabric.disturbance();
    disturbance.delay = fromMilliseconds(milliseconds);
    fabric.setDisturbance(disturbance);
    return Ok;
}

std::string reorderCommand(fabric_model &fabric, const words &arguments)
{
    fabric_disturbance disturbance = fabric.disturbance();
    double milliseconds = 5;
    const bool valid =
            (arguments.size() == 1 || arguments.size() == 2)
            && readNumber(arguments[0], 1, disturbance.reorderRatio)
            && (arguments.size() == 1 || readNumber(arguments[1], LongestDelay, milliseconds));
    if (!valid) {
        return usageError("reorder RATIO [MILLISECONDS]");
    }
    disturbance.reorderDelay = fromMilliseconds(milliseconds);
    fabric.setDisturbance(disturbance);
    return Ok;
}

std::string cutCommand(fabric_model &fabric, const words &arguments)
{
    if (arguments.size() != 2) {
        return usageError("cut DOMAIN DOMAIN");
    }
    fabric.cut(domainName(arguments[0]), domainName(arguments[1]));
    return Ok;
}

std::string healCommand(fabric_model &fabric, const words &arguments)
{
    if (arguments.size() != 2) {
        return usageError("heal DOMAIN DOMAIN");
    }
    fabric.heal(domainName(arguments[0]), domainName(arguments[1]));
    return Ok;
}

std::string placeCommand(fabric_model &fabric, const words &arguments)
{
    if (arguments.size() != 2) {
        return usageError("place CALLER_ADDRESS DOMAIN");
    }
    const result<ip_address> caller = ip_address::parse(arguments[0]);
    if (!isOk(caller)) {
        return "error: " + describe(errorOf(caller));
    }
    fabric.placeCaller(valueOf(caller), domainName(arguments[1]));
    return Ok;
}

} // namespace

std::string runFabricCommand(fabric_model &fabric, const std::string &line)
{
    static const std::map<std::string, command> Commands{
            {"add", addCommand},     {"remove", removeCommand},   {"drop", dropCommand},
            {"delay", delayCommand}, {"reorder", reorderCommand}, {"cut", cutCommand},
            {"heal", healCommand},   {"place", placeCommand},
    };
    std::istringstream stream(line);
    std::string name;
    stream >> name;
    words arguments;
    for (std::string word; stream >> word;) {
        arguments.push_back(word);
    }
    const auto found = Commands.find(name);
    if (found == Commands.end()) {
        return "error: there is no command '" + name + "'";
    }
    return found->second(fabric, arguments);
}

} // namespace ebonyway::standins
