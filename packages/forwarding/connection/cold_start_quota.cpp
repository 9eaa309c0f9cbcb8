#include "forwarding/connection/cold_start_quota.h"

namespace ebonyway {

cold_start_quota::cold_start_quota(std::string, std::uint64_t)
{ }
void cold_start_quota::setInstances(std::map<std::string, std::vector<std::string>>, time_point)
{ }
bool cold_start_quota::allows(server_key, const std::string &, double requestsPerSecond, time_point)
{
    return requestsPerSecond > 0;
}
void cold_start_quota::spend(server_key, double, time_point)
{ }
void cold_start_quota::removeIdle(time_point)
{ }

} // namespace ebonyway
