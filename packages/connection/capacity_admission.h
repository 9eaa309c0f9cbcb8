#pragma once

#include "connection/admission_policy.h"
#include "connection/cold_start_ramp.h"
#include "connection/health_monitor.h"
#include "connection/load_estimate.h"
#include "connection/offer_window.h"
#include "connection/service_load.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ebonyway {

/** Admission parameters that an operator can set. */
struct admission_settings
{
    double startShare = 0.05; ///< Fraction of the normal load at the beginning of a cold start.
    double loadBound = 1.05; ///< Upper bound of open flows, relative to the weighted mean.
};

/**
 * The admission policy used in production (design section 6).
 *
 * Each limit is divided among the instances in proportion to their home shares, so that the parts
 * add up to the limit without coordination. An instance without a home share admits nothing.
 */
class capacity_admission : public admission_policy
{
public:
    explicit capacity_admission(admission_settings settings = {});

    void adoptIntent(const intent &current, time_point now) override;
    void setHomeShare(backend_server_id backendServer, double share, time_point now) override;
    admission admitFlow(backend_server_id backendServer, time_point now) override;
    bool needsDeviation(backend_server_id backendServer, time_point now) const override;
    backend_health health(backend_server_id backendServer, time_point now) const override;
    void onEvidence(backend_server_id backendServer, flow_evidence evidence,
                    time_point now) override;
    void onLoadReport(const load_report &report, time_point now) override;
    void onFlowEnded(backend_server_id backendServer, time_point now) override;

private:
    struct server_state
    {
        explicit server_state(double startShare)
            : ramp(startShare)
        { }

        service_id service;
        double weight = 0;
        double connectionLimit = 0;
        std::uint32_t slotLimit = 0;
        double homeShare = 0;
        bool coldStartChecked = false; ///< The first load report was checked for a cold start.
        cold_start_ramp ramp;
        offer_window window;
        load_estimate load;
        health_monitor monitor;
    };

    struct service_state
    {
        std::vector<backend_server_id> servers; ///< Backend servers that accept new flows.
        service_load load;
        time_point summarisedAt;
        time_point lastAnswer;
        bool everAnswered = false;
        time_point controlledUntil; ///< Until then, homes decide on every new flow.
        std::size_t consecutiveRefusals = 0; ///< TryNext results since the last Admit.
    };

    void adoptServer(const intent &current, const struct backend_server &server, time_point now);
    void refreshLoad(service_state &service, time_point now);
    server_load loadOf(const server_state &server, time_point now) const;

    bool mayAdmit(server_state &server, const service_state &service, time_point now) const;
    bool hasConnectionRoom(const server_state &server, time_point now) const;
    bool nearsConnectionLimit(const server_state &server, time_point now) const;
    bool hasSlotRoom(server_state &server, const service_state &service, time_point now) const;
    bool isOverBound(const server_state &server, const service_state &service, double slack,
                     time_point now) const;

    void expireOffers(server_state &server, service_state &service, time_point now);
    void onAnswered(server_state &server, service_state &service, bool ownOffer, time_point now);
    void onFailed(server_state &server, service_state &service, bool ownOffer, bool shed,
                  time_point now);
    void restartIfFailing(server_state &server, service_state &service, time_point now);
    void checkForColdStart(server_state &server, const service_state &service,
                           const load_report &report, time_point now);

    bool seesAnswers(const service_state &service, time_point now) const;
    bool isFailing(const server_state &server, const service_state &service, time_point now) const;
    bool isDead(const server_state &server, const service_state &service) const;
    server_state *find(backend_server_id id);
    const server_state *find(backend_server_id id) const;

    admission_settings m_settings;
    bool m_hasIntent = false;
    std::unordered_map<backend_server_id, server_state> m_servers;
    std::unordered_map<service_id, service_state> m_services;
};

} // namespace ebonyway
