#include "core/seeded_random.h"
#include "forwarding/connection/admission_shares.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace ebonyway {

namespace {

constexpr int Rounds = 2'000;

// Far below one request, and above the error of the search for the fair level.
constexpr double Tolerance = 1e-6;

/** Random groups of callers with demands of very different sizes. */
struct random_groups_fixture
{
    seeded_random random{11};

    double amount() { return random.below(4) == 0 ? 0.0 : random.exponential(10); }

    std::vector<admission_group> groups(bool withOpenFlows)
    {
        std::vector<admission_group> made(1 + random.below(12));
        for (admission_group &group : made) {
            group.priority = static_cast<std::uint32_t>(random.below(4));
            group.newFlows = amount();
            group.openFlows = withOpenFlows ? amount() : 0.0;
        }
        return made;
    }

    static double demandOf(const admission_group &group)
    {
        return group.newFlows + group.openFlows;
    }

    static double demandOf(const std::vector<admission_group> &groups)
    {
        double sum = 0;
        for (const admission_group &group : groups) {
            sum += demandOf(group);
        }
        return sum;
    }

    static double admitted(const admission_group &group, double share)
    {
        return group.openFlows + share * group.newFlows;
    }
};

} // namespace

// Guards against refusing callers although the service has room for all of them.
TEST_CASE_FIXTURE(random_groups_fixture, "admission shares, all demand fits, nothing is refused")
{
    for (int round = 0; round < Rounds; ++round) {
        const auto made = groups(true);
        const double capacity = demandOf(made) * (1 + random.unit()) + Tolerance;
        for (const double share : admissionShares(made, capacity)) {
            REQUIRE(share == 1);
        }
    }
}

// Guards against idle slots during an overload, and against admitting more than the slots bear.
TEST_CASE_FIXTURE(random_groups_fixture, "admission shares, overload, admitted demand is capacity")
{
    for (int round = 0; round < Rounds; ++round) {
        const auto made = groups(round % 2 == 0);
        const double capacity = demandOf(made) * random.unit();
        const auto shares = admissionShares(made, capacity);
        double sum = 0;
        double unavoidable = 0;
        for (std::size_t i = 0; i < made.size(); ++i) {
            sum += admitted(made[i], shares[i]);
            unavoidable += made[i].openFlows + MinAdmissionShare * made[i].newFlows;
        }
        REQUIRE(sum >= capacity - Tolerance);
        REQUIRE(sum <= capacity + unavoidable + Tolerance);
    }
}

// Guards against refusing urgent callers while less urgent ones are let through.
TEST_CASE_FIXTURE(random_groups_fixture,
                  "admission shares, urgent group is cut, less urgent ones get the minimum")
{
    for (int round = 0; round < Rounds; ++round) {
        const auto made = groups(true);
        const auto shares = admissionShares(made, demandOf(made) * random.unit());
        for (std::size_t urgent = 0; urgent < made.size(); ++urgent) {
            for (std::size_t other = 0; other < made.size(); ++other) {
                if (made[urgent].priority >= made[other].priority || made[other].newFlows <= 0) {
                    continue;
                }
                REQUIRE(shares[urgent] >= shares[other]);
                if (shares[urgent] < 1) {
                    REQUIRE(shares[other] == MinAdmissionShare);
                }
            }
        }
    }
}

// Guards against starving a group, whose demand could then no longer be measured.
TEST_CASE_FIXTURE(random_groups_fixture, "admission shares, any overload, stay within the bounds")
{
    for (int round = 0; round < Rounds; ++round) {
        const auto made = groups(true);
        const auto shares = admissionShares(made, demandOf(made) * random.unit());
        REQUIRE(shares.size() == made.size());
        for (const double share : shares) {
            REQUIRE(share >= MinAdmissionShare);
            REQUIRE(share <= 1);
        }
    }
}

// Guards against unfair division: a modest group must not pay for one that asks for much.
TEST_CASE_FIXTURE(random_groups_fixture,
                  "admission shares, group asks for less than its equal part, is admitted whole")
{
    for (int round = 0; round < Rounds; ++round) {
        const auto made = groups(false);
        const double capacity = demandOf(made) * random.unit();
        const auto shares = admissionShares(made, capacity);
        std::map<std::uint32_t, std::pair<double, int>> priorities; // Demand and groups.
        for (const admission_group &group : made) {
            priorities[group.priority].first += demandOf(group);
            ++priorities[group.priority].second;
        }
        double remaining = capacity;
        for (const auto &[priority, total] : priorities) {
            const double part = remaining / total.second;
            for (std::size_t i = 0; i < made.size(); ++i) {
                if (made[i].priority == priority && demandOf(made[i]) <= part) {
                    REQUIRE(shares[i] >= 1 - Tolerance);
                }
            }
            remaining = std::max(0.0, remaining - total.first);
        }
    }
}

// Guards against different treatment of equal groups: within a priority, no group may get more
// than another that asked for more than it got.
TEST_CASE_FIXTURE(random_groups_fixture,
                  "admission shares, group is cut, no equal group gets more of the slots")
{
    for (int round = 0; round < Rounds; ++round) {
        auto made = groups(false);
        const auto shares = admissionShares(made, demandOf(made) * random.unit());
        for (std::size_t cut = 0; cut < made.size(); ++cut) {
            for (std::size_t other = 0; other < made.size(); ++other) {
                if (made[cut].priority != made[other].priority || shares[cut] > 1 - Tolerance
                    || shares[other] <= MinAdmissionShare) {
                    continue;
                }
                REQUIRE(admitted(made[other], shares[other])
                        <= admitted(made[cut], shares[cut]) + Tolerance);
            }
        }
    }
}

// Guards against a burst of one domain's callers that takes the slots of other domains.
TEST_CASE_FIXTURE(random_groups_fixture,
                  "admission shares, another group surges, group within its part keeps its share")
{
    for (int round = 0; round < Rounds; ++round) {
        auto made = groups(false);
        for (admission_group &group : made) {
            group.priority = 1;
        }
        const double capacity = demandOf(made) * (0.5 + random.unit());
        const double part = capacity / static_cast<double>(made.size());
        const std::size_t surging = random.below(made.size());
        made[surging].newFlows = std::max(made[surging].newFlows, 1.0) * (1 + 9 * random.unit());
        const auto shares = admissionShares(made, capacity);
        for (std::size_t i = 0; i < made.size(); ++i) {
            if (i != surging && made[i].newFlows <= part) {
                REQUIRE(shares[i] >= 1 - Tolerance);
            }
        }
        // A surge of less urgent callers takes nothing from more urgent ones either.
        made[surging].priority = 2;
        const auto before = admissionShares(made, capacity);
        made[surging].newFlows *= 10;
        const auto after = admissionShares(made, capacity);
        for (std::size_t i = 0; i < made.size(); ++i) {
            if (i != surging) {
                REQUIRE(after[i] == before[i]);
            }
        }
    }
}

// Guards against instances that refuse different callers because their reports arrived in another
// order.
TEST_CASE_FIXTURE(random_groups_fixture, "admission shares, groups in another order, are the same")
{
    for (int round = 0; round < Rounds; ++round) {
        const auto made = groups(true);
        std::vector<std::size_t> order(made.size());
        for (std::size_t i = 0; i < order.size(); ++i) {
            order[i] = i;
            std::swap(order[i], order[random.below(i + 1)]);
        }
        std::vector<admission_group> shuffled;
        shuffled.reserve(made.size());
        for (const std::size_t index : order) {
            shuffled.push_back(made[index]);
        }
        const double capacity = demandOf(made) * random.unit();
        const auto shares = admissionShares(made, capacity);
        const auto other = admissionShares(shuffled, capacity);
        for (std::size_t i = 0; i < order.size(); ++i) {
            REQUIRE(other[i] == doctest::Approx(shares[order[i]]).epsilon(Tolerance));
        }
    }
}

// Guards against divisions by zero.
TEST_CASE("admission shares, no groups, no demand or no capacity, are defined")
{
    CHECK(admissionShares({}, 10).empty());
    CHECK(admissionShares({{0, 0, 0}, {1, 0, 0}}, 10) == std::vector<double>{1, 1});
    CHECK(admissionShares({{0, 0, 0}, {1, 0, 0}}, 0) == std::vector<double>{1, 1});
    CHECK(admissionShares({{0, 3, 0}, {1, 5, 2}}, 0)
          == std::vector<double>{MinAdmissionShare, MinAdmissionShare});
}

// Guards against a negative part for new flows.
TEST_CASE("admission shares, open flows above the capacity, new flows get the minimum")
{
    CHECK(admissionShares({{0, 4, 20}, {0, 4, 1}, {1, 2, 0}}, 10)
          == std::vector<double>{MinAdmissionShare, MinAdmissionShare, MinAdmissionShare});
    // A group without new flows has nothing that could be refused.
    CHECK(admissionShares({{0, 0, 20}}, 10) == std::vector<double>{1});
}

// Guards against refusing a group for the open flows of another one within its own part.
TEST_CASE("admission shares, open flows of one group, count for its own part first")
{
    const auto shares = admissionShares({{0, 6, 4}, {0, 6, 0}}, 10);
    CHECK(shares[0] == doctest::Approx(1.0 / 6));
    CHECK(shares[1] == doctest::Approx(5.0 / 6));
}

} // namespace ebonyway
