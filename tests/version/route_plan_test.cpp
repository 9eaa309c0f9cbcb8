#include "core/seeded_random.h"
#include "version/intent_samples.h"
#include "version/route_plan.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

namespace ebonyway {

namespace {

struct route_plan_fixture
{
    intent current = sampleIntent(14);
    route_plan plan{route_plan{}, current};

    const slot_table &table() const { return *plan.slotTable({0}); }

    void adopt()
    {
        ++current.number.value;
        plan = route_plan(plan, current);
    }

    std::size_t slotsOf(const slot_table &counted, backend_server_id server) const
    {
        return static_cast<std::size_t>(
                std::count(counted.targets.begin(), counted.targets.end(), server));
    }

    static std::size_t moved(const slot_table &before, const slot_table &after)
    {
        std::size_t count = 0;
        for (std::size_t slot = 0; slot < before.targets.size(); ++slot) {
            count += before.targets[slot] != after.targets[slot] ? 1 : 0;
        }
        return count;
    }

    /** Slots that must move at least: those that a target holds above its new count. */
    std::size_t leastMoves(const slot_table &before, const slot_table &after) const
    {
        std::size_t surplus = 0;
        std::vector<backend_server_id> holders{NoBackendServer};
        for (const backend_server &server : current.backendServers) {
            holders.push_back(server.id);
        }
        for (const backend_server_id holder : holders) {
            const std::size_t held = slotsOf(before, holder);
            const std::size_t kept = slotsOf(after, holder);
            surplus += held > kept ? held - kept : 0;
        }
        return surplus;
    }

    void checkQuotas() const
    {
        std::uint64_t total = 0;
        for (const backend_server &server : current.backendServers) {
            total += acceptsNewFlows(current, server) ? server.weight : 0;
        }
        for (const backend_server &server : current.backendServers) {
            const std::uint64_t weight = acceptsNewFlows(current, server) ? server.weight : 0;
            const std::uint64_t slots = slotsOf(table(), server.id);
            const std::uint64_t product = weight * table().targets.size();
            CAPTURE(server.id.value);
            CHECK(slots >= (total == 0 ? 0 : product / total));
            CHECK(slots <= (total == 0 ? 0 : (product + total - 1) / total));
        }
    }

    void changeAtRandom(seeded_random &random)
    {
        backend_server &server = current.backendServers[random.below(14)];
        switch (random.below(4)) {
        case 0:
            server.draining = !server.draining;
            break;
        case 1:
            server.weight = static_cast<std::uint32_t>(random.below(4) * 75);
            break;
        default: {
            failure_domain &domain = current.failureDomains[random.below(3)];
            domain.inService = !domain.inService;
        }
        }
    }
};

} // namespace

TEST_CASE_FIXTURE(route_plan_fixture,
                  "slot count, number of backend servers, power of two in bounds")
{
    CHECK(slotCountFor(0) == 64);
    CHECK(slotCountFor(1) == 64);
    CHECK(slotCountFor(2) == 128);
    CHECK(slotCountFor(14) == 1024);
    CHECK(slotCountFor(16384) == 65536);
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot table, random changes, exact quotas and least moves")
{
    // Guards against imbalance that builds up over changes and against needless moves.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        seeded_random random(seed);
        for (int step = 0; step < 12; ++step) {
            CAPTURE(seed);
            CAPTURE(step);
            const slot_table before = table();
            changeAtRandom(random);
            adopt();
            checkQuotas();
            CHECK(table().targets.size() == before.targets.size());
            CHECK(moved(before, table()) == leastMoves(before, table()));
        }
    }
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot table, one drained, only its slots move")
{
    const slot_table before = table();
    current.backendServers[3].draining = true;
    adopt();
    CHECK(slotsOf(table(), {3}) == 0);
    CHECK(moved(before, table()) == slotsOf(before, {3}));
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot table, same notes on two instances, same table")
{
    // Guards against any input besides the notes: the instances of this test share nothing.
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        route_plan_fixture other;
        route_plan_fixture here;
        seeded_random first(seed);
        seeded_random second(seed);
        for (int step = 0; step < 30; ++step) {
            here.changeAtRandom(first);
            here.adopt();
            other.changeAtRandom(second);
            other.adopt();
        }
        CHECK(here.table() == other.table());
    }
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot table, fixed input, keeps its result across releases")
{
    // Instances of two program versions run side by side during an upgrade and must agree.
    current.failureDomains[1].inService = false;
    adopt();
    std::uint64_t sum = 0;
    for (std::size_t slot = 0; slot < table().targets.size(); ++slot) {
        sum = sum * 31 + table().targets[slot].value;
    }
    CHECK(sum == 16960720427461582115U);
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot table, domain leaves and returns, gets its slots back")
{
    for (const bool forgotten : {false, true}) {
        CAPTURE(forgotten);
        const slot_table before = table();
        current.failureDomains[1].inService = false;
        adopt();
        if (forgotten) {
            // After EarlierTargetNotes only the rendezvous scores remain.
            current.number.value += EarlierTargetNotes;
            current.backendServers[0].weight += 1;
            adopt();
            current.backendServers[0].weight -= 1;
        }
        current.failureDomains[1].inService = true;
        adopt();
        std::size_t owned = 0;
        std::size_t returned = 0;
        for (std::size_t slot = 0; slot < before.targets.size(); ++slot) {
            const bool inDomain = before.targets[slot].value % 3 == 1;
            owned += inDomain ? 1 : 0;
            returned += inDomain && table().targets[slot].value % 3 == 1 ? 1 : 0;
        }
        CAPTURE(owned);
        CAPTURE(returned);
        CHECK(returned * 10 >= owned * (forgotten ? 6 : 9));
    }
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot table, no server accepts new flows, has no targets")
{
    for (failure_domain &domain : current.failureDomains) {
        domain.inService = false;
    }
    adopt();
    CHECK(slotsOf(table(), NoBackendServer) == table().targets.size());
    current.failureDomains[0].inService = true;
    adopt();
    checkQuotas();
}

TEST_CASE_FIXTURE(route_plan_fixture, "slot history, many changes, is bounded and answers by note")
{
    std::vector<slot_table> tables{table(), table()}; // Indexed by note number.
    for (int change = 0; change < 20; ++change) {
        current.failureDomains[static_cast<std::size_t>(change) % 3].inService ^= true;
        adopt();
        tables.push_back(table());
    }
    for (std::size_t index = 0; index < table().targets.size(); ++index) {
        const auto slot = static_cast<std::uint16_t>(index);
        REQUIRE(table().earlierTargetsOf(slot).size() <= EarlierTargetLimit);
        for (std::uint64_t note = 1; note < tables.size(); ++note) {
            const auto target = table().targetAt(slot, {note});
            if (target) {
                REQUIRE(*target == tables[note].targets[index]);
            }
        }
        const note_number beforeLast{table().changedAt[index].value - 1};
        REQUIRE((beforeLast.value == 0 || table().targetAt(slot, beforeLast).has_value()));
    }
}

TEST_CASE_FIXTURE(route_plan_fixture, "plan, one service changes, shares the other tables")
{
    const service_id plans = addService(current, "plans");
    addServer(current, plans, {0});
    adopt();
    const slot_table *shared = plan.slotTable({0});
    current.backendServers.back().draining = true;
    adopt();
    CHECK(plan.slotTable({0}) == shared);
    CHECK(plan.slotTable(plans)->targets[0] == NoBackendServer);
    CHECK(plan.slotTable({7}) == nullptr);
}

TEST_CASE_FIXTURE(route_plan_fixture, "plan, packets of a service, finds service and slot")
{
    flow_key key;
    key.service = current.services[0].addresses[0];
    key.servicePort = 443;
    CHECK(plan.serviceFor(key) == service_id{0});
    CHECK(plan.slotOf({0}, {1024 * 5 + 7}) == slot_id{{0}, 7});
    key.protocol = transport_protocol::Udp;
    CHECK_FALSE(plan.serviceFor(key).has_value());
}

} // namespace ebonyway
