#include "core/seeded_random.h"
#include "forwarding/connection/demand_meter.h"
#include "forwarding/connection/flow_admission.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t Service = 77;
constexpr std::uint32_t UrgentRoute = 1;
constexpr std::uint32_t OtherRoute = 2;
constexpr std::array<const char *, 3> Domains{"a", "b", "c"};
constexpr std::size_t InstancesPerDomain = 2;

/** Share of the arrivals that use the urgent route. */
constexpr double UrgentPart = 0.3;

constexpr std::size_t Slots = 60;
/** As for servers with 2 slots that queue 8 requests. */
constexpr std::size_t MaxQueue = 4 * Slots;
constexpr duration WorkTime = 60ms;

constexpr duration ReportInterval = 200ms;
constexpr duration ReportDelay = 1s;
/** An instance does not see resets of servers; it gives up such requests after this time. */
constexpr duration RequestLifetime = 1s;
constexpr duration RetryPause = 100ms;
constexpr int MaxRetries = 2;

struct loop_options
{
    double workTimeError = 1; ///< Factor on the work times that the instances report.
    /** Callers are refused if the expected delay is not below it, as in the forwarder; 0: never. */
    duration timeout{};
};

/** Results of one priority over a stretch of time. */
struct class_result
{
    std::size_t callers = 0;
    std::size_t answered = 0;

    double answeredShare() const
    {
        return callers > 0 ? static_cast<double>(answered) / static_cast<double>(callers) : 1;
    }
};

struct loop_sample
{
    time_point at;
    double urgentShare = 1; ///< Least share of any instance.
    double otherShare = 1; ///< Least share of any instance.
    double greatestShare = 1; ///< Of any instance on the less urgent route.
    double pressure = 0; ///< Requests under way per slot at the servers now.
    double measuredRate = 0; ///< New flows per second in the reports that the instances got.
};

/**
 * Callers of two priorities in three failure domains, instances with meters and admission, and a
 * service with one common queue, under virtual time.
 */
class overload_loop
{
public:
    explicit overload_loop(loop_options options = {})
        : m_options(options)
    {
        for (const char *domain : Domains) {
            for (std::size_t i = 0; i < InstancesPerDomain; ++i) {
                m_instances.push_back(std::make_unique<instance>(domain));
            }
        }
        at(m_now, [this] { report(); });
    }

    /** Lets callers ask for `load` times what the slots bear. */
    void run(double load, duration length)
    {
        const time_point end = m_now + length;
        const double rate = load * Slots / std::chrono::duration<double>(WorkTime).count();
        scheduleArrival(rate, end);
        while (!m_events.empty() && m_events.begin()->first <= end) {
            m_now = m_events.begin()->first;
            const auto event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_now = end;
    }

    time_point now() const { return m_now; }
    const std::vector<loop_sample> &samples() const { return m_samples; }
    std::size_t refusals() const { return m_refusals; }
    std::size_t rejections() const { return m_rejections; }

    /** Returns the answers between the times relative to what the slots bear. */
    double goodput(time_point from, time_point to) const
    {
        const auto first = std::lower_bound(m_answers.begin(), m_answers.end(), from);
        const auto last = std::lower_bound(m_answers.begin(), m_answers.end(), to);
        const double most = Slots * std::chrono::duration<double>(to - from)
                            / std::chrono::duration<double>(WorkTime);
        return static_cast<double>(last - first) / most;
    }

    /** Returns the results of the callers on the route that first asked between the times. */
    class_result results(std::uint32_t route, time_point from, time_point to) const
    {
        class_result sum;
        for (const caller &one : m_callers) {
            if (one.route != route || one.askedAt < from || one.askedAt >= to) {
                continue;
            }
            ++sum.callers;
            sum.answered += one.answered ? 1 : 0;
        }
        return sum;
    }

    std::vector<loop_sample> samplesBetween(time_point from, time_point to) const
    {
        std::vector<loop_sample> found;
        for (const loop_sample &sample : m_samples) {
            if (sample.at >= from && sample.at < to) {
                found.push_back(sample);
            }
        }
        return found;
    }

    const flow_admission &admission(std::size_t index) const
    {
        return m_instances[index]->admission;
    }

private:
    struct instance
    {
        explicit instance(std::string name)
            : domain(std::move(name))
            , admission(domain)
        { }

        std::string domain;
        demand_meter meter;
        flow_admission admission;
    };

    struct caller
    {
        ip_address address;
        std::size_t domain = 0;
        std::uint32_t route = 0;
        int attempts = 0;
        bool answered = false;
        time_point askedAt;
    };

    struct request
    {
        std::size_t caller = 0;
        std::size_t instance = 0;
        time_point since;
    };

    void at(time_point when, std::function<void()> action)
    {
        m_events.emplace(when, std::move(action));
    }

    duration randomTime(duration mean)
    {
        return std::chrono::duration_cast<duration>(m_random.exponential(1)
                                                    * std::chrono::duration<double>(mean));
    }

    void scheduleArrival(double rate, time_point end)
    {
        const auto pause = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(m_random.exponential(1 / rate)));
        if (m_now + pause >= end) {
            return;
        }
        at(m_now + pause, [this, rate, end] {
            caller made;
            made.address = ip_address::fromV4(static_cast<std::uint32_t>(m_random.next()));
            made.domain = m_random.below(Domains.size());
            made.route = m_random.unit() < UrgentPart ? UrgentRoute : OtherRoute;
            made.askedAt = m_now;
            m_callers.push_back(made);
            ask(m_callers.size() - 1);
            scheduleArrival(rate, end);
        });
    }

    void ask(std::size_t index)
    {
        caller &from = m_callers[index];
        ++from.attempts;
        const std::size_t through =
                from.domain * InstancesPerDomain + m_random.below(InstancesPerDomain);
        instance &asked = *m_instances[through];
        const bool inTime = m_options.timeout == duration::zero()
                            || asked.admission.expectedDelay(Service) < m_options.timeout;
        if (!inTime || !asked.admission.admits(Service, from.route, from.address, m_round)) {
            asked.meter.onRefused(Service, from.route);
            ++m_refusals;
            retry(index);
            return;
        }
        asked.meter.onNewFlow(Service, from.route, 1 / asked.admission.share(Service, from.route));
        asked.meter.onRequest(Service, from.route, true);
        const request made{index, through, m_now};
        if (m_busySlots < Slots) {
            serve(made);
        } else if (m_queue.size() < MaxQueue) {
            m_queue.push_back(made);
        } else {
            ++m_rejections;
            const std::uint32_t route = from.route;
            at(m_now + RequestLifetime,
               [this, through, route] { m_instances[through]->meter.onAbandoned(Service, route); });
            retry(index);
        }
    }

    void retry(std::size_t index)
    {
        if (m_callers[index].attempts <= MaxRetries) {
            at(m_now + RetryPause, [this, index] { ask(index); });
        }
    }

    void serve(const request &next)
    {
        ++m_busySlots;
        at(m_now + randomTime(WorkTime), [this, next] {
            --m_busySlots;
            caller &from = m_callers[next.caller];
            from.answered = true;
            m_instances[next.instance]->meter.onAnswer(Service, from.route, m_now - next.since);
            m_answers.push_back(m_now);
            if (m_queue.empty()) {
                return;
            }
            const request waiting = m_queue.front();
            m_queue.pop_front();
            serve(waiting);
        });
    }

    /** Sums the demands of all instances by domain and route, as the reports of peers do. */
    admission_input measured() const
    {
        std::map<std::pair<std::string, std::uint32_t>, service_demand> sums;
        for (const auto &one : m_instances) {
            for (const service_demand &demand : one->meter.demands()) {
                service_demand &sum = sums[{one->domain, demand.route}];
                sum.service = Service;
                sum.route = demand.route;
                sum.newFlows += demand.newFlows;
                sum.laterRequests += demand.laterRequests;
                sum.refused += demand.refused;
                sum.underWay += demand.underWay;
                sum.workTime = std::max(sum.workTime, demand.workTime);
            }
        }
        admission_input input{Service, Slots, {}};
        for (auto &[key, sum] : sums) {
            sum.workTime = std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(WorkTime) * m_options.workTimeError);
            input.demands.push_back({key.first, key.second == UrgentRoute ? 0U : 1U, sum});
        }
        return input;
    }

    void report()
    {
        for (const auto &one : m_instances) {
            one->meter.tick(
                    [&one](std::uint32_t service) {
                        return one->admission.isLightlyLoaded(service);
                    },
                    m_now);
        }
        m_reports.emplace_back(m_now, measured());
        std::vector<admission_input> arrived;
        while (m_reports.size() > 1 && m_reports[1].first <= m_now - ReportDelay) {
            m_reports.pop_front();
        }
        if (m_reports.front().first <= m_now - ReportDelay) {
            arrived.push_back(m_reports.front().second);
        }
        loop_sample sample;
        sample.at = m_now;
        sample.greatestShare = 0;
        sample.pressure = static_cast<double>(m_busySlots + m_queue.size()) / Slots;
        for (const admission_input &input : arrived) {
            for (const admission_demand &one : input.demands) {
                sample.measuredRate += one.demand.newFlows;
            }
        }
        for (const auto &one : m_instances) {
            one->admission.update(arrived, m_now);
            const double other = one->admission.share(Service, OtherRoute);
            sample.urgentShare =
                    std::min(sample.urgentShare, one->admission.share(Service, UrgentRoute));
            sample.otherShare = std::min(sample.otherShare, other);
            sample.greatestShare = std::max(sample.greatestShare, other);
        }
        m_samples.push_back(sample);
        at(m_now + ReportInterval, [this] { report(); });
    }

    loop_options m_options;
    seeded_random m_random{5};
    time_point m_now{1'000s};
    std::uint64_t m_round = 9;
    std::multimap<time_point, std::function<void()>> m_events;
    std::vector<std::unique_ptr<instance>> m_instances;
    std::vector<caller> m_callers;
    std::deque<request> m_queue;
    std::size_t m_busySlots = 0;
    std::deque<std::pair<time_point, admission_input>> m_reports;
    std::vector<time_point> m_answers;
    std::vector<loop_sample> m_samples;
    std::size_t m_refusals = 0;
    std::size_t m_rejections = 0;
};

/** Returns the standard deviation of the share of less urgent callers that are let through. */
double deviationOfShare(const std::vector<loop_sample> &samples)
{
    double sum = 0;
    double squares = 0;
    for (const loop_sample &sample : samples) {
        sum += sample.otherShare;
        squares += sample.otherShare * sample.otherShare;
    }
    const auto count = static_cast<double>(samples.size());
    return std::sqrt(std::max(0.0, squares / count - (sum / count) * (sum / count)));
}

/** Returns the longest time in which callers were refused while slots were idle. */
duration longestRefusalWithRoom(const std::vector<loop_sample> &samples)
{
    constexpr double RoomPressure = 0.8;
    duration longest{};
    duration current{};
    for (const loop_sample &sample : samples) {
        const bool refuses = sample.otherShare < 1 && sample.pressure < RoomPressure;
        current = refuses ? current + ReportInterval : duration::zero();
        longest = std::max(longest, current);
    }
    return longest;
}

/** Checks an overload of 30 s that follows a moderate load. */
void checkOverload(double load, loop_options options = {})
{
    overload_loop loop(options);
    loop.run(0.5, 10s);
    const time_point begin = loop.now();
    loop.run(load, 30s);
    const time_point end = loop.now();
    loop.run(0.5, 5s);
    const time_point settled = begin + 1500ms;
    const class_result urgent = loop.results(UrgentRoute, begin, end);
    const auto samples = loop.samplesBetween(begin + 5s, end);
    INFO("urgent ", urgent.answeredShare(), " of ", urgent.callers, ", after 1.5 s ",
         loop.results(UrgentRoute, settled, end).answeredShare(), ", other ",
         loop.results(OtherRoute, begin, end).answeredShare(), ", goodput ",
         loop.goodput(settled, end), ", deviation ", deviationOfShare(samples), ", rejected ",
         loop.rejections());
    REQUIRE_FALSE(samples.empty());
    CHECK(urgent.answeredShare() >= 0.97);
    CHECK(loop.goodput(settled, end) >= 0.95);
    CHECK(deviationOfShare(samples) <= 0.1);
}

ip_address callerAddress(std::uint32_t number)
{
    return ip_address::fromV4(0x0a000000 + number);
}

/** An overload that instances of all domains see: the urgent callers fit, the others do not. */
struct flow_admission_fixture
{
    flow_admission subject{"a"};
    time_point now{1'000s};

    static admission_input overload()
    {
        admission_input input{Service, Slots, {}};
        for (const char *domain : Domains) {
            service_demand demand;
            demand.service = Service;
            demand.workTime = WorkTime;
            demand.route = UrgentRoute;
            demand.newFlows = 200;
            demand.underWay = Slots;
            input.demands.push_back({domain, 0, demand});
            demand.route = OtherRoute;
            demand.newFlows = 400;
            input.demands.push_back({domain, 1, demand});
        }
        return input;
    }

    void update(const admission_input &input)
    {
        now += ReportInterval;
        subject.update({input}, now);
    }

    std::size_t admittedOf(std::uint32_t callers, std::uint64_t round) const
    {
        std::size_t admitted = 0;
        for (std::uint32_t i = 0; i < callers; ++i) {
            admitted += subject.admits(Service, OtherRoute, callerAddress(i), round) ? 1 : 0;
        }
        return admitted;
    }
};

} // namespace

// Guards against refusals while the slots bear all that is asked for.
TEST_CASE("closed loop, callers ask for less than the slots bear, nothing is refused")
{
    for (const double load : {0.5, 0.9}) {
        CAPTURE(load);
        overload_loop loop;
        loop.run(load, 40s);
        CHECK(loop.refusals() == 0);
    }
}

// Guards against urgent callers that fare no better than others, against slots that idle while
// callers are refused, and against shares that follow their own effect a second later.
TEST_CASE("closed loop, callers ask for 1.6 times the slots, urgent ones are served")
{
    checkOverload(1.6);
}

// Guards against an overload so large that all slots go to the retries of rejected callers.
TEST_CASE("closed loop, callers ask for 3 times the slots, urgent ones are served")
{
    checkOverload(3.0);
}

// Guards against refusing all callers, urgent ones too, for a delay that was measured a second ago.
TEST_CASE("closed loop, overload and routes with a timeout, urgent ones are served")
{
    checkOverload(1.6, {1, 500ms});
}

// Guards against sudden troughs that a mean over the whole overload hides.
TEST_CASE("closed loop, long overload, goodput stays high in every two seconds")
{
    overload_loop loop;
    loop.run(0.5, 10s);
    const time_point begin = loop.now();
    loop.run(1.6, 30s);
    for (time_point from = begin + 1500ms; from + 2s <= loop.now(); from += 2s) {
        CAPTURE(std::chrono::duration<double>(from - begin).count());
        CHECK(loop.goodput(from, from + 2s) >= 0.9);
    }
}

// Guards against refusals that outlast their cause.
TEST_CASE("closed loop, overload ends, shedding ends within two seconds")
{
    for (const double load : {1.6, 3.0}) {
        CAPTURE(load);
        overload_loop loop;
        loop.run(0.5, 5s);
        loop.run(load, 20s);
        const time_point end = loop.now();
        CHECK(loop.samples().back().otherShare < 1);
        loop.run(0.5, 10s);
        duration lasted{};
        for (const loop_sample &sample : loop.samplesBetween(end, loop.now())) {
            if (std::min(sample.otherShare, sample.urgentShare) < 1) {
                lasted = sample.at + ReportInterval - end;
            }
        }
        INFO("load ", load, ": shedding lasted ", std::chrono::duration<double>(lasted).count(),
             " s longer");
        CHECK(lasted <= 2s);
    }
}

// Guards against a demand that grows with the retries of refused callers, so that ever more are
// refused.
TEST_CASE("closed loop, refused callers retry, measured demand counts each caller once")
{
    overload_loop loop;
    loop.run(0.5, 10s);
    const time_point begin = loop.now();
    loop.run(1.6, 30s);
    double sum = 0;
    const auto samples = loop.samplesBetween(begin + 5s, loop.now());
    for (const loop_sample &sample : samples) {
        sum += sample.measuredRate;
    }
    const double asked = 1.6 * Slots / std::chrono::duration<double>(WorkTime).count();
    const double measured = sum / static_cast<double>(samples.size());
    INFO("measured ", measured, " of ", asked, " callers a second");
    CHECK(measured <= 1.1 * asked);
    CHECK(measured >= 0.9 * asked);
    CHECK(loop.refusals() > 0);
}

// Guards against refusals without need when the reported work time is wrong.
TEST_CASE("closed loop, wrong work time, does not keep refusing while there is room")
{
    // Reports take a second and are smoothed over half a second.
    constexpr duration Reaction = 2s;
    for (const double error : {0.5, 2.0}) {
        for (const double load : {0.5, 0.7, 0.9, 1.6}) {
            CAPTURE(error);
            CAPTURE(load);
            overload_loop loop({error, duration::zero()});
            loop.run(0.5, 10s);
            const time_point begin = loop.now();
            loop.run(load, 40s);
            const duration refusal = longestRefusalWithRoom(loop.samplesBetween(begin, loop.now()));
            INFO("work time times ", error, ", load ", load, ": refusals with room for ",
                 std::chrono::duration<double>(refusal).count(), " s, goodput ",
                 loop.goodput(begin + 1500ms, loop.now()), ", urgent ",
                 loop.results(UrgentRoute, begin, loop.now()).answeredShare());
            CHECK(refusal <= Reaction);
        }
    }
}

// Guards against a caller that gets through by asking another instance.
TEST_CASE_FIXTURE(flow_admission_fixture, "two instances, same reports, refuse the same callers")
{
    flow_admission other("a");
    update(overload());
    // The other instance received the same demands in another order.
    admission_input reversed = overload();
    std::reverse(reversed.demands.begin(), reversed.demands.end());
    other.update({reversed}, now);
    REQUIRE(subject.share(Service, OtherRoute) < 1);
    for (std::uint32_t i = 0; i < 5'000; ++i) {
        for (const std::uint32_t route : {UrgentRoute, OtherRoute}) {
            REQUIRE(subject.admits(Service, route, callerAddress(i), 3)
                    == other.admits(Service, route, callerAddress(i), 3));
        }
    }
}

// Guards against retries that raise the load of an overloaded service.
TEST_CASE_FIXTURE(flow_admission_fixture, "refused caller, asks again in the round, is refused")
{
    update(overload());
    std::vector<ip_address> refused;
    for (std::uint32_t i = 0; i < 1'000; ++i) {
        if (!subject.admits(Service, OtherRoute, callerAddress(i), 3)) {
            refused.push_back(callerAddress(i));
        }
    }
    REQUIRE_FALSE(refused.empty());
    update(overload());
    for (const ip_address &caller : refused) {
        REQUIRE_FALSE(subject.admits(Service, OtherRoute, caller, 3));
    }
}

// Guards against a demand that grows with the retries of refused callers, at a share that does not
// change.
TEST_CASE_FIXTURE(flow_admission_fixture,
                  "refused callers, two retries each, count once in the measured demand")
{
    constexpr std::uint32_t CallersPerTick = 300;
    update(overload());
    const double share = subject.share(Service, OtherRoute);
    demand_meter meter;
    meter.tick([](std::uint32_t) { return false; }, now);
    std::uint32_t next = 0;
    double sum = 0;
    int samples = 0;
    for (int tick = 0; tick < 60; ++tick) {
        for (std::uint32_t i = 0; i < CallersPerTick; ++i) {
            const ip_address caller = callerAddress(next++);
            for (int attempt = 0; attempt <= MaxRetries; ++attempt) {
                if (subject.admits(Service, OtherRoute, caller, 3)) {
                    meter.onNewFlow(Service, OtherRoute, 1 / share);
                    break;
                }
                meter.onRefused(Service, OtherRoute);
            }
        }
        now += ReportInterval;
        meter.tick([](std::uint32_t) { return false; }, now);
        if (tick >= 20) {
            sum += meter.demands().front().newFlows;
            ++samples;
        }
    }
    const double asked = CallersPerTick / std::chrono::duration<double>(ReportInterval).count();
    CHECK(std::abs(sum / samples - asked) < 0.05 * asked);
}

// Guards against a hash that refuses another share than the one computed, or always the same
// callers.
TEST_CASE_FIXTURE(flow_admission_fixture, "many callers, overload, are let through as share() says")
{
    constexpr std::uint32_t Callers = 20'000;
    update(overload());
    const double share = subject.share(Service, OtherRoute);
    REQUIRE(share > 0.1);
    REQUIRE(share < 0.9);
    for (const std::uint64_t round : {0ULL, 1ULL, 29'000'000ULL}) {
        CHECK(std::abs(static_cast<double>(admittedOf(Callers, round)) / Callers - share) < 0.02);
    }
    std::size_t both = 0;
    for (std::uint32_t i = 0; i < Callers; ++i) {
        both += subject.admits(Service, OtherRoute, callerAddress(i), 1)
                                && subject.admits(Service, OtherRoute, callerAddress(i), 2)
                        ? 1
                        : 0;
    }
    CHECK(std::abs(static_cast<double>(both) / Callers - share * share) < 0.02);
}

// Guards against refusals that follow from a lack of figures.
TEST_CASE_FIXTURE(flow_admission_fixture,
                  "service without known work time, slots or reports, refuses nothing")
{
    admission_input input = overload();
    SUBCASE("work time")
    {
        for (admission_demand &one : input.demands) {
            one.demand.workTime = duration::zero();
        }
        update(input);
    }
    SUBCASE("slots")
    {
        input.slots = 0;
        update(input);
    }
    SUBCASE("demands")
    {
        input.demands.clear();
        update(input);
    }
    SUBCASE("reports")
    {
        update(input);
        REQUIRE(subject.share(Service, OtherRoute) < 1);
        subject.update({}, now + ReportInterval);
    }
    CHECK(subject.share(Service, OtherRoute) == 1);
    CHECK(admittedOf(1'000, 3) == 1'000);
    CHECK(subject.expectedDelay(Service) >= duration::zero());
}

// Guards against refusals that continue while slots are idle, whatever the demand seems to be.
TEST_CASE_FIXTURE(flow_admission_fixture, "shedding, pressure falls below room, ends at once")
{
    admission_input input = overload();
    update(input);
    REQUIRE(subject.share(Service, OtherRoute) < 1);
    for (admission_demand &one : input.demands) {
        one.demand.underWay = 0.75 * Slots / static_cast<double>(input.demands.size());
    }
    update(input);
    CHECK(subject.share(Service, OtherRoute) == 1);
    const auto changes = subject.takeChanges();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].state == admission_change::phase::Started);
    CHECK(changes[1].state == admission_change::phase::Ended);
}

} // namespace ebonyway
