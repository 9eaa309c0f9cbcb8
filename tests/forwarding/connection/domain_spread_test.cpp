#include "core/seeded_random.h"
#include "forwarding/connection/domain_spread.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <numeric>
#include <string>
#include <vector>

namespace ebonyway {

namespace {

constexpr double HomeUtilization = 0.7;

double sumOf(const std::vector<double> &shares)
{
    return std::accumulate(shares.begin(), shares.end(), 0.0);
}

/** Demand that arrives in each domain if the callers of all domains follow domainShares(). */
std::vector<double> arrivingDemand(const std::vector<domain_room> &domains)
{
    std::vector<double> arriving(domains.size());
    for (const domain_room &from : domains) {
        const std::vector<double> shares = domainShares(domains, from.failureDomain);
        for (std::size_t i = 0; i < domains.size(); ++i) {
            arriving[i] += from.demand * shares[i];
        }
    }
    return arriving;
}

double meanUtilization(const std::vector<domain_room> &domains)
{
    double demand = 0;
    double slots = 0;
    for (const domain_room &one : domains) {
        demand += one.demand;
        slots += one.slots;
    }
    return demand / slots;
}

struct spread_fixture
{
    seeded_random random{3};

    /** One to six domains; some of them have no demand, and some no slots if `maybeEmpty`. */
    std::vector<domain_room> randomDomains(bool maybeEmpty)
    {
        std::vector<domain_room> domains;
        const std::uint64_t count = 1 + random.below(6);
        for (std::uint64_t i = 0; i < count; ++i) {
            domain_room room{"d" + std::to_string(i), 0, 1 + 200 * random.unit()};
            if (maybeEmpty && random.below(4) == 0) {
                room.slots = 0;
            }
            if (random.below(5) > 0) {
                room.demand = 200 * random.unit() * random.unit();
            }
            domains.push_back(room);
        }
        return domains;
    }
};

} // namespace

TEST_CASE_FIXTURE(spread_fixture, "random domains, any own one, shares are parts of 1")
{
    for (int i = 0; i < 20'000; ++i) {
        const std::vector<domain_room> domains = randomDomains(true);
        for (const domain_room &own : domains) {
            const std::vector<double> shares = domainShares(domains, own.failureDomain);
            REQUIRE(shares.size() == domains.size());
            REQUIRE(sumOf(shares) == doctest::Approx(1));
            for (const double share : shares) {
                REQUIRE(share >= 0);
                REQUIRE(share <= 1 + 1e-9);
            }
        }
    }
}

TEST_CASE_FIXTURE(spread_fixture, "random domains, own demand below 0.7, all flows stay")
{
    for (int i = 0; i < 20'000; ++i) {
        const std::vector<domain_room> domains = randomDomains(true);
        for (std::size_t own = 0; own < domains.size(); ++own) {
            const domain_room &room = domains[own];
            if (room.slots == 0 || room.demand > HomeUtilization * room.slots) {
                continue;
            }
            REQUIRE(domainShares(domains, room.failureDomain)[own] == 1);
        }
    }
}

// While the mean of all domains is at least 0.7, it is the level of all of them.
TEST_CASE_FIXTURE(spread_fixture, "surge in one domain, mean above 0.7, utilizations are equal")
{
    int moved = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::vector<domain_room> domains = randomDomains(false);
        double slots = 0;
        double demand = 0;
        for (const domain_room &one : domains) {
            slots += one.slots;
            demand += one.demand;
        }
        domains.front().demand += std::max(0.0, (0.7 + 0.6 * random.unit()) * slots - demand);
        const double mean = meanUtilization(domains);
        if (mean < HomeUtilization) {
            continue;
        }
        const std::vector<double> arriving = arrivingDemand(domains);
        for (std::size_t j = 0; j < domains.size(); ++j) {
            REQUIRE(arriving[j] / domains[j].slots == doctest::Approx(mean).epsilon(0.01));
            moved += std::abs(arriving[j] - domains[j].demand) > 1 ? 1 : 0;
        }
    }
    CHECK(moved > 10'000);
}

// Below a mean of 0.7, domains give away only what exceeds 0.7 of their slots: with the mean as the
// level, a domain would send away half of its flows as soon as its demand exceeds 0.7.
TEST_CASE_FIXTURE(spread_fixture, "surge in one domain, mean below 0.7, it keeps 0.7 of its slots")
{
    int moved = 0;
    for (int i = 0; i < 20'000; ++i) {
        std::vector<domain_room> domains = randomDomains(false);
        domains.front().demand = domains.front().slots * (0.7 + random.unit());
        if (meanUtilization(domains) >= HomeUtilization) {
            continue;
        }
        ++moved;
        const std::vector<double> arriving = arrivingDemand(domains);
        for (std::size_t j = 0; j < domains.size(); ++j) {
            const double utilization = arriving[j] / domains[j].slots;
            if (domains[j].demand >= HomeUtilization * domains[j].slots) {
                REQUIRE(utilization == doctest::Approx(HomeUtilization).epsilon(0.01));
            } else {
                REQUIRE(utilization <= HomeUtilization * 1.01);
            }
        }
    }
    CHECK(moved > 1'000);
}

TEST_CASE_FIXTURE(spread_fixture, "random domains, flows from others, lift none above the level")
{
    for (int i = 0; i < 20'000; ++i) {
        const std::vector<domain_room> domains = randomDomains(false);
        const double level = std::max(HomeUtilization, meanUtilization(domains));
        const std::vector<double> arriving = arrivingDemand(domains);
        for (std::size_t j = 0; j < domains.size(); ++j) {
            const double highest = std::max(level * domains[j].slots, domains[j].demand);
            REQUIRE(arriving[j] <= highest * 1.01);
        }
    }
}

TEST_CASE("surge in one domain, demand passes 0.7 slowly, shares do not jump")
{
    double before = 1;
    for (double demand = 60; demand < 100; demand += 0.1) {
        const std::vector<double> shares =
                domainShares({{"a", demand, 100}, {"b", 10, 100}, {"c", 20, 100}}, "a");
        REQUIRE(std::abs(shares[0] - before) < 0.01);
        before = shares[0];
    }
    CHECK(before == doctest::Approx(0.7).epsilon(0.01));
}

TEST_CASE("own domain without slots, flows, go to the others by room")
{
    const std::vector<double> shares =
            domainShares({{"a", 10, 0}, {"b", 40, 100}, {"c", 10, 100}}, "a");
    CHECK(shares[0] == 0);
    CHECK(shares[1] == doctest::Approx(30.0 / 90));
    CHECK(shares[2] == doctest::Approx(60.0 / 90));
}

TEST_CASE("own domain is not listed, flows, go to the others by room")
{
    const std::vector<double> shares = domainShares({{"b", 40, 100}, {"c", 10, 100}}, "a");
    CHECK(shares[0] == doctest::Approx(30.0 / 90));
    CHECK(shares[1] == doctest::Approx(60.0 / 90));
}

TEST_CASE("other domain without slots, surge at home, gets nothing")
{
    const std::vector<double> shares =
            domainShares({{"a", 100, 100}, {"b", 0, 0}, {"c", 0, 100}}, "a");
    CHECK(shares[0] == doctest::Approx(0.7));
    CHECK(shares[1] == 0);
    CHECK(shares[2] == doctest::Approx(0.3));
}

TEST_CASE("no demand, flows, stay in their own domain")
{
    const std::vector<double> shares = domainShares({{"a", 0, 100}, {"b", 0, 100}}, "b");
    CHECK(shares == std::vector<double>{0, 1});
}

// The shares were all 0, so that they did not add up to 1.
TEST_CASE("no domain has slots, flows, stay in their own domain if it is listed")
{
    const std::vector<domain_room> domains{{"a", 10, 0}, {"b", 10, 0}};
    CHECK(domainShares(domains, "b") == std::vector<double>{0, 1});
    CHECK(domainShares(domains, "c") == std::vector<double>{0.5, 0.5});
    CHECK(domainShares({}, "a").empty());
}

} // namespace ebonyway
