#pragma once

#include "version/snapshot.h"

#include <string>

namespace ebonyway {

/** The entry of one backend server of vitrine. */
inline std::string sampleServer(const std::string &number, int domain)
{
    const char *domains[] = {"casa-ain", "casa-sidi", "casa-bouskoura"};
    return R"({"name": "vitrine-0)" + number + R"(", "service": "vitrine", "tunnel": "10.1.0.)"
           + number + R"(:6080", "failure_domain": ")" + domains[domain] + R"("})";
}

/** Note 1: the service vitrine with six backend servers, two in each of three failure domains. */
inline std::string firstNote()
{
    std::string servers;
    for (int i = 1; i <= 6; ++i) {
        servers += i == 1 ? "" : ",\n";
        servers += sampleServer(std::to_string(i), i % 3);
    }
    return R"({
  // The first release note of the deployment.
  "note": 1, "title": "Start vitrine", "author": "salma",
  "added": {
    "failure_domains": [{"name": "casa-ain"}, {"name": "casa-sidi"}, {"name": "casa-bouskoura"}],
    "services": [{"name": "vitrine", "addresses": ["203.0.113.10"], "protocol": "tcp",
                  "port": 443, "idle_timeout": "15m",
                  "objective": {"good_flow_ratio": 0.999, "window": "30d"}}],
    "backend_servers": [)"
           + servers + "]\n  }\n}\n";
}

/** A release note whose sections are given as JSON members, for example R"("changed": {...})". */
inline std::string noteText(std::uint64_t number, const std::string &sections,
                            const std::string &author = "salma")
{
    return R"({"note": )" + std::to_string(number) + R"(, "title": "Change )"
           + std::to_string(number) + R"(", "author": ")" + author + R"(", )" + sections + "}";
}

/** A release note that drains or restores one backend server. */
inline std::string drainNote(std::uint64_t number, const std::string &server, bool draining = true,
                             const std::string &author = "salma")
{
    return noteText(number,
                    R"("changed": {"backend_servers": [{"name": ")" + server + R"(", "draining": )"
                            + (draining ? "true" : "false") + "}]}",
                    author);
}

/** The plan after firstNote(). */
inline route_plan firstPlan()
{
    return valueOf(foldNotes({}, {firstNote()}));
}

} // namespace ebonyway
