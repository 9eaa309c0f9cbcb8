#pragma once

#include "core/ip_address.h"
#include "core/result.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ebonyway::standins {

/** Reads command line options into variables with popt. Every option takes a value. */
class option_parser
{
public:
    /** The purpose is shown by --help. */
    explicit option_parser(std::string purpose);

    void addText(const std::string &name, std::string &target, const std::string &help);
    void addNumber(const std::string &name, double &target, const std::string &help);
    void addInteger(const std::string &name, std::uint64_t &target, const std::string &help);
    void addMilliseconds(const std::string &name, duration &target, const std::string &help);
    void addEndpoint(const std::string &name, endpoint &target, const std::string &help);
    void addAddress(const std::string &name, ip_address &target, const std::string &help);

    /** An option that may be given several times; T has a static parse(text). */
    template <typename T>
    void addList(const std::string &name, std::vector<T> &target, const std::string &help)
    {
        add(name, help, [&target](const std::string &text) -> status {
            const result<T> parsed = T::parse(text);
            if (!isOk(parsed)) {
                return errorOf(parsed);
            }
            target.push_back(valueOf(parsed));
            return std::monostate{};
        });
    }

    /** Parses the command line. On --help or an error it prints text and returns false. */
    bool parse(int argc, const char **argv);
    /** What the program must return after parse() returned false. */
    int exitCode() const { return m_exitCode; }

private:
    using setter = std::function<status(const std::string &)>;
    struct option
    {
        std::string name;
        std::string help;
        setter set;
    };

    void add(const std::string &name, const std::string &help, setter set);
    void printHelp(const char *program) const;

    std::string m_purpose;
    std::vector<option> m_options;
    int m_exitCode = 0;
};

} // namespace ebonyway::standins
