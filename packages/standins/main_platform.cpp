#include "standins/event_loop.h"
#include "standins/json_line.h"
#include "standins/option_parser.h"
#include "standins/platform_service.h"

#include <json/json.h>

#include <iostream>

namespace ebonyway::standins {

namespace {

bool parseOptions(int argc, const char **argv, platform_options &options, int &exitCode)
{
    option_parser parser("Simulates the platform's object API.");
    parser.addEndpoint("listen", options.listen, "HTTP address of the object API");
    parser.addEndpoint("control", options.control, "HTTP address of /control");
    parser.addText("state", options.stateFile, "file that keeps the objects over a restart");
    parser.addInteger("seed", options.seed, "seed of stale reads");
    parser.addList("instance", options.instances,
                   "listed instance as id=GOSSIP_ADDRESS:PORT@failure-domain; may be repeated");
    const bool parsed = parser.parse(argc, argv);
    exitCode = parser.exitCode();
    return parsed;
}

int run(const platform_options &options)
{
    event_loop loop; // Installs the signal handlers before threads start.
    platform_service service(options);
    const status opened = service.open();
    if (!isOk(opened)) {
        std::cerr << describe(errorOf(opened)) << '\n';
        return 1;
    }
    printEvent("started");
    loop.run([&service](time_point) {
        const status followed = service.followOutage();
        if (!isOk(followed)) {
            std::cerr << describe(errorOf(followed)) << '\n';
        }
        return time_point::max();
    });
    service.close();
    printEvent("summary", service.summary());
    return 0;
}

} // namespace

} // namespace ebonyway::standins

int main(int argc, const char **argv)
{
    ebonyway::standins::platform_options options;
    int exitCode = 0;
    if (!ebonyway::standins::parseOptions(argc, argv, options, exitCode)) {
        return exitCode;
    }
    return ebonyway::standins::run(options);
}
