#pragma once

#include "connection/admission_policy.h"

#include <map>
#include <set>

namespace ebonyway {

/** Admission policy with decisions set by the test; shared by all engines of a driver. */
class fake_admission : public admission_policy
{
public:
    std::set<backend_server_id> full; ///< Backend servers that admit no flow.
    std::set<backend_server_id> limited; ///< Backend servers for which needsDeviation is true.
    std::set<backend_server_id> dead;
    std::map<backend_server_id, int> open; ///< Flows admitted and not ended.
    std::map<flow_evidence, int> evidence;

    void adoptIntent(const intent &, time_point) override { }
    void setHomeShare(backend_server_id, double, time_point) override { }
    admission admitFlow(backend_server_id server, time_point) override
    {
        if (full.contains(server)) {
            return admission::TryNext;
        }
        ++open[server];
        return admission::Admit;
    }
    bool needsDeviation(backend_server_id server, time_point) const override
    {
        return limited.contains(server);
    }
    backend_health health(backend_server_id server, time_point) const override
    {
        return dead.contains(server) ? backend_health::Dead : backend_health::Healthy;
    }
    void onEvidence(backend_server_id, flow_evidence kind, time_point) override
    {
        ++evidence[kind];
    }
    void onLoadReport(const load_report &, time_point) override { }
    void onFlowEnded(backend_server_id server, time_point) override { --open[server]; }
};

} // namespace ebonyway
