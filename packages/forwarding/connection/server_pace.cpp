#include "forwarding/connection/server_pace.h"

namespace ebonyway {

void server_pace::begin(server_key, time_point)
{ }
void server_pace::onAnswer(server_key, duration, duration, time_point)
{ }
void server_pace::onSilence(server_key, time_point)
{ }
void server_pace::onPeerAnswer(server_key, time_point, duration, duration)
{ }
void server_pace::forget(server_key)
{ }
void server_pace::tick(time_point)
{ }
double server_pace::share(server_key) const
{
    return 1;
}
std::vector<pace_change> server_pace::takeChanges()
{
    return {};
}

} // namespace ebonyway
