#include "core/seeded_random.h"
#include "forwarding/connection/cold_start_quota.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <ratio>
#include <string>
#include <vector>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

constexpr std::array<const char *, 3> Domains{"a", "b", "c"};
constexpr std::array<std::size_t, 5> Sizes{1, 3, 10, 88, 300};
constexpr std::array<double, 4> Rates{0.5, 2, 4, 20};
constexpr duration Step = 10ms;

using view_interval = std::chrono::duration<std::int64_t, std::deci>;

// Longest time until another instance learns of a change; less than the 2 s for which an instance
// that has just started sends nothing.
constexpr std::uint64_t MaxNoticeMillis = 1'800;

/** Message that an instance is a member from now on, or no longer. */
struct membership_notice
{
    time_point at;
    std::string name;
    std::string domain;
    std::uint64_t number = 0; ///< Later changes of a name have higher numbers.
    bool isMember = true;
};

struct member
{
    std::string name;
    std::string domain;
    time_point startedAt;
    cold_start_quota quota;
    std::map<std::string, membership_notice> known;
    std::vector<membership_notice> pending;
    bool hasDemand = true;
};

/** Instances in three failure domains, with one cold server in each of the domains. */
struct quota_fixture
{
    seeded_random random{1};
    time_point now{1'000s};
    double rate = 2;
    std::deque<member> members;
    std::map<std::string, std::uint64_t> sent; ///< Flows by name of the sender, to all servers.
    std::array<std::vector<time_point>, Domains.size()> arrivals;
    std::uint64_t lastNumber = 0;
    std::size_t flowsOfBeginners = 0; ///< Flows of instances in their first 2 s.
    bool isPartitioned = false; ///< Changes do not reach the instances of the other side.

    /** Starts over with instances that have known each other for more than 2 s. */
    void start(std::size_t count, double coldRate, std::uint64_t seed)
    {
        random = seeded_random(seed);
        rate = coldRate;
        members.clear();
        sent.clear();
        arrivals = {};
        flowsOfBeginners = 0;
        isPartitioned = false;
        for (std::size_t i = 0; i < count; ++i) {
            join("instance-" + std::to_string(i), Domains[i % Domains.size()], 0);
        }
        for (member &one : members) {
            updateView(one);
        }
        now += 2s;
    }

    /** Side of the network partition. */
    static std::size_t sideOf(const std::string &name) { return name.back() % 2; }

    bool reaches(const std::string &from, const std::string &to) const
    {
        return !isPartitioned || sideOf(from) == sideOf(to);
    }

    time_point noticeTime(std::uint64_t maxMillis)
    {
        // Instances adopt changes every 100 ms.
        const duration delay = std::chrono::milliseconds(random.below(maxMillis + 1));
        return maxMillis == 0 ? now : std::chrono::ceil<view_interval>(now + delay);
    }

    void join(const std::string &name, const std::string &domain,
              std::uint64_t maxMillis = MaxNoticeMillis)
    {
        const membership_notice notice{now, name, domain, ++lastNumber, true};
        member added{name, domain, now, cold_start_quota(name, random.next()), {{name, notice}},
                     {},   true};
        for (member &one : members) {
            one.pending.push_back(notice);
            one.pending.back().at = noticeTime(maxMillis);
            membership_notice other = one.known.at(one.name);
            // A part of the others is known at once.
            other.at = random.below(2) == 0 ? now : noticeTime(maxMillis);
            added.pending.push_back(other);
        }
        members.push_back(std::move(added));
        updateView(members.back(), true);
    }

    /** Ends an instance and returns its name and domain. */
    std::pair<std::string, std::string> leave(std::size_t index)
    {
        std::pair ended(members[index].name, members[index].domain);
        members.erase(members.begin() + static_cast<std::ptrdiff_t>(index));
        const membership_notice notice{now, ended.first, ended.second, ++lastNumber, false};
        for (member &one : members) {
            if (!reaches(ended.first, one.name)) {
                continue;
            }
            one.pending.push_back(notice);
            one.pending.back().at = noticeTime(MaxNoticeMillis);
        }
        return ended;
    }

    void updateView(member &one, bool isNew = false)
    {
        bool isChanged = isNew;
        std::erase_if(one.pending, [&](const membership_notice &notice) {
            if (notice.at > now) {
                return false;
            }
            const auto found = one.known.find(notice.name);
            if (found == one.known.end() || found->second.number < notice.number) {
                one.known[notice.name] = notice;
                isChanged = true;
            }
            return true;
        });
        if (!isChanged) {
            return;
        }
        std::map<std::string, std::vector<std::string>> names;
        for (const auto &[name, notice] : one.known) {
            if (notice.isMember) {
                names[notice.domain].push_back(name);
            }
        }
        one.quota.setInstances(std::move(names), now);
    }

    /** All instances ask for flows to all servers at every step. */
    void run(duration length)
    {
        for (const time_point end = now + length; now < end; now += Step) {
            const std::size_t first = random.below(std::max<std::size_t>(members.size(), 1));
            for (std::size_t i = 0; i < members.size(); ++i) {
                member &one = members[(first + i) % members.size()];
                updateView(one);
                if (one.hasDemand) {
                    sendAll(one);
                }
            }
        }
    }

    void sendAll(member &one)
    {
        for (std::size_t i = 0; i < Domains.size(); ++i) {
            const server_key server{100 + i};
            if (!one.quota.allows(server, Domains[i], rate, now)) {
                continue;
            }
            one.quota.spend(server, rate, now);
            arrivals[i].push_back(now);
            ++sent[one.name];
            flowsOfBeginners += now - one.startedAt < 2s ? 1 : 0;
        }
    }

    /** Returns the largest number of flows that a server got within a second. */
    std::size_t peak() const
    {
        std::size_t largest = 0;
        for (const std::vector<time_point> &times : arrivals) {
            std::size_t begin = 0;
            for (std::size_t end = 0; end < times.size(); ++end) {
                while (times[end] - times[begin] >= 1s) {
                    ++begin;
                }
                largest = std::max(largest, end + 1 - begin);
            }
        }
        return largest;
    }

    double tolerance() const { return 1.5 * rate + 5; }
};

} // namespace

// The rate was once divided by the number of instances, each with a first flow of its own: 88
// instances sent a server 88 flows at once.
TEST_CASE_FIXTURE(quota_fixture, "cold server, all instances ask, gets its rate and two flows more")
{
    for (const std::size_t count : Sizes) {
        for (const double coldRate : Rates) {
            CAPTURE(count);
            CAPTURE(coldRate);
            start(count, coldRate, count);
            run(12s);
            CHECK(static_cast<double>(peak()) <= coldRate + 2);
            for (const std::vector<time_point> &times : arrivals) {
                // The rate is also used, as the first flows wait for less than an interval.
                CHECK(static_cast<double>(times.size()) >= 12 * coldRate * 0.9 - 2);
                CHECK(static_cast<double>(times.size()) <= 12 * coldRate + 2);
            }
        }
    }
}

// Two instances that know different sets of names might take more than two for senders.
TEST_CASE_FIXTURE(quota_fixture,
                  "cold server, instances join and leave and restart, stays in its tolerance")
{
    for (const std::size_t count : Sizes) {
        for (const double coldRate : Rates) {
            CAPTURE(count);
            CAPTURE(coldRate);
            start(count, coldRate, 1'000 + count);
            std::vector<std::pair<std::string, std::string>> ended;
            for (int i = 0; i < 60; ++i) {
                run(std::chrono::milliseconds(10 * random.below(40)));
                const std::uint64_t kind = random.below(3);
                if (kind == 0 && members.size() > 1) {
                    ended.push_back(leave(random.below(members.size())));
                } else if (kind == 1 && !ended.empty()) {
                    join(ended.back().first, ended.back().second);
                    ended.pop_back();
                } else if (kind == 2) {
                    const auto [name, domain] = leave(random.below(members.size()));
                    join(name, domain);
                } else {
                    join("late-" + std::to_string(lastNumber), Domains[random.below(3)]);
                }
            }
            run(3s);
            CHECK(static_cast<double>(peak()) <= tolerance());
            CHECK(flowsOfBeginners == 0);
        }
    }
}

// The senders of a server leave one after the other, as they might in a rolling restart. Each of
// their successors once sent a flow at once.
TEST_CASE_FIXTURE(quota_fixture, "cold server, its senders leave in turn, stays in its tolerance")
{
    for (const std::size_t count : {std::size_t{10}, std::size_t{88}, std::size_t{300}}) {
        for (const double coldRate : Rates) {
            CAPTURE(count);
            CAPTURE(coldRate);
            start(count, coldRate, 2'000 + count);
            run(1s);
            const std::size_t remaining = count > 100 ? count - 100 : 3;
            while (members.size() > remaining) {
                // Everyone learns at once, so that the next one takes over at once.
                std::size_t leaving = random.below(members.size());
                for (std::size_t i = 0; i < members.size(); ++i) {
                    leaving = sent[members[i].name] > 0 ? i : leaving;
                }
                leave(leaving);
                for (member &one : members) {
                    for (membership_notice &notice : one.pending) {
                        notice.at = now;
                    }
                }
                run(100ms);
            }
            CHECK(static_cast<double>(peak()) <= tolerance());
        }
    }
}

TEST_CASE_FIXTURE(quota_fixture, "cold server, instances start one by one, stays in its tolerance")
{
    for (const std::size_t count : Sizes) {
        for (const double coldRate : Rates) {
            CAPTURE(count);
            CAPTURE(coldRate);
            start(1, coldRate, 3'000 + count);
            // All others start within 2 s; each learns of a half of the others up to 1.9 s late.
            for (std::size_t i = 1; i < count; ++i) {
                join("late-" + std::to_string(i), Domains[i % Domains.size()]);
                run(i % 3 == 0 ? 20ms : 0ms);
            }
            run(6s);
            CHECK(static_cast<double>(peak()) <= tolerance());
            CHECK(flowsOfBeginners == 0);
        }
    }
}

// Either side of a network partition once divided the rate by the instances that it still reached.
TEST_CASE_FIXTURE(quota_fixture,
                  "network partition, either side keeps the names, stays in the tolerance")
{
    for (const std::size_t count : Sizes) {
        for (const double coldRate : Rates) {
            CAPTURE(count);
            CAPTURE(coldRate);
            start(count, coldRate, 4'000 + count);
            run(2s);
            isPartitioned = true;
            for (std::size_t i = 0; i < std::min<std::size_t>(count / 2, 30); ++i) {
                leave(random.below(members.size()));
                run(200ms);
            }
            run(3s);
            CHECK(static_cast<double>(peak()) <= tolerance());
        }
    }
}

TEST_CASE_FIXTURE(quota_fixture, "instance, first 2 s after its start, sends nothing")
{
    cold_start_quota only("only", 1);
    CHECK_FALSE(only.allows(server_key{100}, "a", 20, now));
    only.setInstances({{"a", {"only"}}}, now);
    const time_point startedAt = now;
    for (; now < startedAt + 2s; now += Step) {
        REQUIRE_FALSE(only.allows(server_key{100}, "a", 20, now));
    }
    // The first flow follows after a part of the interval of 50 ms.
    bool isAllowed = false;
    for (; now < startedAt + 2s + 60ms; now += Step) {
        isAllowed = isAllowed || only.allows(server_key{100}, "a", 20, now);
    }
    CHECK(isAllowed);
}

TEST_CASE_FIXTURE(quota_fixture, "sender without demand, all others ask, leaves its part unused")
{
    start(88, 4, 5);
    run(2s);
    for (member &one : members) {
        one.hasDemand = sent[one.name] == 0;
    }
    arrivals = {};
    run(5s);
    for (const std::vector<time_point> &times : arrivals) {
        CHECK(times.empty());
    }
}

TEST_CASE("server, its domain has no instances, gets its rate from those of other domains")
{
    for (const bool isListed : {false, true}) {
        CAPTURE(isListed);
        std::map<std::string, std::vector<std::string>> names{{"a", {"one"}}, {"b", {"two"}}};
        if (isListed) {
            names["c"] = {};
        }
        cold_start_quota one("one", 1);
        cold_start_quota two("two", 2);
        time_point now{1'000s};
        one.setInstances(names, now);
        two.setInstances(names, now);
        std::size_t flows = 0;
        now += 2s;
        for (const time_point end = now + 5s; now < end; now += Step) {
            for (cold_start_quota *each : {&one, &two}) {
                if (each->allows(server_key{7}, "c", 4, now)) {
                    each->spend(server_key{7}, 4, now);
                    ++flows;
                }
            }
        }
        CHECK(flows >= 18);
        CHECK(flows <= 22);
    }
}

TEST_CASE("server without a cold rate, instance asks, gets nothing")
{
    cold_start_quota only("only", 1);
    only.setInstances({{"a", {"only"}}}, time_point(1'000s));
    CHECK_FALSE(only.allows(server_key{1}, "a", 0, time_point(1'010s)));
}

} // namespace ebonyway
