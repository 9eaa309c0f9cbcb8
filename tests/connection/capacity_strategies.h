#pragma once

#include "connection/capacity_admission.h"
#include "connection/capacity_model.h"

namespace ebonyway {

/** Sends every flow to the target of its slot. */
class plain_hashing : public capacity_strategy
{
public:
    explicit plain_hashing(int serverCount)
        : m_serverCount(serverCount)
    { }

    placement place(int slot, std::uint64_t, time_point) override { return {slot % m_serverCount}; }

protected:
    int m_serverCount;
};

/** Plain hashing, but a restarted backend server gets a share that grows linearly with time. */
class fixed_time_ramp : public plain_hashing
{
public:
    using plain_hashing::plain_hashing;

    static constexpr std::chrono::duration<double> RampTime{30};

    placement place(int slot, std::uint64_t hash, time_point now) override
    {
        int server = slot % m_serverCount;
        for (int tries = 0; tries < m_serverCount; ++tries) {
            const std::chrono::duration<double> age = now - m_startedAt[server];
            const double share = m_restarted[server] ? age / RampTime : 1;
            if (static_cast<double>(hash >> 11) * 0x1p-53 < share) {
                return {server};
            }
            hash = hash * 0x9e3779b97f4a7c15U + 1;
            server = static_cast<int>((hash >> 33) % m_serverCount);
        }
        return {};
    }

    void onReport(const load_report &report, time_point now) override
    {
        std::uint64_t &known = m_startCounts[report.backendServer.value];
        if (known != 0 && report.startCount != known) {
            m_restarted[report.backendServer.value] = true;
            m_startedAt[report.backendServer.value] = now;
        }
        known = report.startCount;
    }

private:
    std::map<int, std::uint64_t> m_startCounts;
    std::map<int, bool> m_restarted;
    std::map<int, time_point> m_startedAt;
};

/** The product's policy: each instance admits flows for the slots that it is the home of. */
class product_admission : public capacity_strategy
{
public:
    product_admission(int instanceCount, const intent &current, time_point now)
        : m_intent(current)
    {
        for (int i = 0; i < instanceCount; ++i) {
            join(now);
        }
    }

    /** Adds an instance that has no prior state and becomes the home of its part of the slots. */
    void join(time_point now)
    {
        m_instances.push_back(std::make_unique<capacity_admission>());
        m_alive.push_back(true);
        m_instances.back()->adoptIntent(m_intent, now);
        assignHomes(now);
    }

    void leave(int instance, time_point now)
    {
        m_alive[instance] = false;
        assignHomes(now);
    }

    placement place(int slot, std::uint64_t hash, time_point now) override
    {
        capacity_admission &home = *m_instances[m_homes[slot]];
        const int target = slot % serverCount();
        if (!home.needsDeviation(serverId(target), now)) {
            return {target};
        }
        for (int tries = 0; tries < serverCount(); ++tries) {
            // Visits every other server once, from a start that depends on the flow.
            const int step =
                    tries == 0 ? 0 : static_cast<int>((hash >> 20) % (serverCount() - 1)) + 1;
            const int server =
                    (target + (tries == 0 ? 0 : (step + tries - 2) % (serverCount() - 1) + 1))
                    % serverCount();
            if (home.admitFlow(serverId(server), now) == admission::Admit) {
                return {server, m_homes[slot]};
            }
        }
        return {};
    }

    void onEvidence(int slot, int server, flow_evidence evidence, time_point now) override
    {
        m_instances[m_homes[slot]]->onEvidence(serverId(server), evidence, now);
    }

    void onReport(const load_report &report, time_point now) override
    {
        for (const auto &instance : m_instances) {
            instance->onLoadReport(report, now);
        }
    }

    void onEnded(const placement &placed, time_point now) override
    {
        if (placed.admittedBy >= 0) {
            m_instances[placed.admittedBy]->onFlowEnded(serverId(placed.server), now);
        }
    }

    const capacity_admission &instance(int index) const { return *m_instances[index]; }

    static backend_server_id serverId(int server)
    {
        return backend_server_id{static_cast<std::uint16_t>(server)};
    }

private:
    int serverCount() const { return static_cast<int>(m_intent.backendServers.size()); }

    int homeOf(int slot) const
    {
        int best = 0;
        std::uint64_t highest = 0;
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            const std::uint64_t score = seeded_random(slot * 1000003ULL + i * 7919ULL).next();
            if (m_alive[i] && score >= highest) {
                highest = score;
                best = static_cast<int>(i);
            }
        }
        return best;
    }

    void assignHomes(time_point now)
    {
        m_homes.resize(capacity_world::SlotCount);
        std::map<std::pair<int, int>, int> counts;
        std::map<int, int> totals;
        for (int slot = 0; slot < capacity_world::SlotCount; ++slot) {
            m_homes[slot] = homeOf(slot);
            ++counts[{m_homes[slot], slot % serverCount()}];
            ++totals[slot % serverCount()];
        }
        for (std::size_t i = 0; i < m_instances.size(); ++i) {
            for (int server = 0; server < serverCount(); ++server) {
                const double share =
                        static_cast<double>(counts[{static_cast<int>(i), server}]) / totals[server];
                m_instances[i]->setHomeShare(serverId(server), share, now);
            }
        }
    }

    intent m_intent;
    std::vector<std::unique_ptr<capacity_admission>> m_instances;
    std::vector<bool> m_alive;
    std::vector<int> m_homes;
};

} // namespace ebonyway
