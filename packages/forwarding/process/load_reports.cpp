#include "forwarding/process/load_reports.h"

namespace ebonyway {

load_reports::load_reports(std::string)
{ }
void load_reports::add(const peer_entry &, const std::vector<peer_server_load> &,
                       const std::vector<service_demand> &, time_point)
{ }
void load_reports::remove(const std::string &)
{ }
shared_load load_reports::estimate(const std::map<std::string, std::size_t> &, time_point)
{
    return {};
}
std::uint64_t load_reports::ignoredEntries() const
{
    return 0;
}

} // namespace ebonyway
