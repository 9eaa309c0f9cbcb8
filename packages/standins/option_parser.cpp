#include "standins/option_parser.h"

#include <popt.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <utility>

namespace ebonyway::standins {

namespace {

/** Exit code for a faulty command line. */
constexpr int UsageError = 2;
constexpr int HelpValue = 1;
constexpr int FirstValue = 2;

template <typename T>
status readValue(const std::string &text, T &target)
{
    std::istringstream stream(text);
    if (!(stream >> target) || stream.peek() != std::istringstream::traits_type::eof()) {
        return error{error_kind::InvalidInput, "'" + text + "' is not a number",
                     "Write a number without a unit."};
    }
    return std::monostate{};
}

template <typename T>
status readParsed(const std::string &text, T &target)
{
    const result<T> parsed = T::parse(text);
    if (!isOk(parsed)) {
        return errorOf(parsed);
    }
    target = valueOf(parsed);
    return std::monostate{};
}

} // namespace

option_parser::option_parser(std::string purpose)
    : m_purpose(std::move(purpose))
{ }

void option_parser::add(const std::string &name, const std::string &help, setter set)
{
    m_options.push_back({name, help, std::move(set)});
}

void option_parser::addText(const std::string &name, std::string &target, const std::string &help)
{
    add(name, help, [&target](const std::string &text) -> status {
        target = text;
        return std::monostate{};
    });
}

void option_parser::addNumber(const std::string &name, double &target, const std::string &help)
{
    add(name, help, [&target](const std::string &text) { return readValue(text, target); });
}

void option_parser::addInteger(const std::string &name, std::uint64_t &target,
                               const std::string &help)
{
    add(name, help, [&target](const std::string &text) { return readValue(text, target); });
}

void option_parser::addMilliseconds(const std::string &name, duration &target,
                                    const std::string &help)
{
    add(name, help, [&target](const std::string &text) -> status {
        double number = 0;
        status read = readValue(text, number);
        target = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>(number));
        return read;
    });
}

void option_parser::addEndpoint(const std::string &name, endpoint &target, const std::string &help)
{
    add(name, help, [&target](const std::string &text) { return readParsed(text, target); });
}

void option_parser::addAddress(const std::string &name, ip_address &target, const std::string &help)
{
    add(name, help, [&target](const std::string &text) { return readParsed(text, target); });
}

bool option_parser::parse(int argc, const char **argv)
{
    std::vector<poptOption> table;
    table.push_back({"help", 'h', POPT_ARG_NONE, nullptr, HelpValue, nullptr, nullptr});
    for (std::size_t i = 0; i < m_options.size(); ++i) {
        table.push_back({m_options[i].name.c_str(), '\0', POPT_ARG_STRING, nullptr,
                         static_cast<int>(i) + FirstValue, nullptr, nullptr});
    }
    table.push_back(POPT_TABLEEND);
    const std::unique_ptr<poptContext_s, poptContext (*)(poptContext)> context(
            poptGetContext(nullptr, argc, argv, table.data(), 0), poptFreeContext);

    int value = 0;
    while ((value = poptGetNextOpt(context.get())) > 0) {
        if (value == HelpValue) {
            printHelp(argv[0]);
            return false;
        }
        const std::unique_ptr<char, void (*)(void *)> text(poptGetOptArg(context.get()), std::free);
        const option &chosen = m_options[static_cast<std::size_t>(value - FirstValue)];
        const status set = chosen.set(text.get());
        if (!isOk(set)) {
            std::cerr << "--" << chosen.name << ": " << describe(errorOf(set)) << '\n';
            m_exitCode = UsageError;
            return false;
        }
    }
    if (value < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": " << poptStrerror(value)
                  << ". Run with --help to see the options.\n";
        m_exitCode = UsageError;
        return false;
    }
    if (const char *extra = poptGetArg(context.get())) {
        std::cerr << "'" << extra << "' is not an option. Run with --help to see the options.\n";
        m_exitCode = UsageError;
        return false;
    }
    return true;
}

void option_parser::printHelp(const char *program) const
{
    std::cout << "Usage: " << program << " [OPTION...]\n" << m_purpose << "\n\n";
    for (const option &known : m_options) {
        std::cout << "  --" << known.name << "=VALUE\n        " << known.help << '\n';
    }
}

} // namespace ebonyway::standins
