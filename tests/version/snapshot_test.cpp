#include "core/seeded_random.h"
#include "version/intent_samples.h"
#include "version/note_samples.h"
#include "version/snapshot.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct snapshot_fixture
{
    route_plan plan = valueOf(
            foldNotes(firstPlan(), {drainNote(2, "vitrine-01"), drainNote(3, "vitrine-01", false),
                                    drainNote(4, "vitrine-02")}));
    std::string bytes = valueOf(encodeSnapshot(plan));
};

} // namespace

TEST_CASE_FIXTURE(snapshot_fixture, "snapshot, encoded plan, decodes to the same plan")
{
    const result<route_plan> decoded = decodeSnapshot(bytes);
    REQUIRE(isOk(decoded));
    CHECK(valueOf(decoded).currentIntent() == plan.currentIntent());
    CHECK(*valueOf(decoded).slotTable({0}) == *plan.slotTable({0}));
}

TEST_CASE_FIXTURE(snapshot_fixture,
                  "snapshot, later notes, gives the table of an instance without it")
{
    // Guards against state that the tables depend on but that the snapshot leaves out.
    const std::vector<std::string> later{drainNote(5, "vitrine-02", false),
                                         drainNote(6, "vitrine-04")};
    const route_plan direct = valueOf(foldNotes(plan, later));
    const route_plan restored = valueOf(foldNotes(valueOf(decodeSnapshot(bytes)), later));
    CHECK(*restored.slotTable({0}) == *direct.slotTable({0}));
    CHECK(restored.currentIntent().digest == direct.currentIntent().digest);
    const result<route_plan> gap = foldNotes(plan, {drainNote(6, "vitrine-04")});
    REQUIRE_FALSE(isOk(gap));
    CHECK(errorOf(gap).message.find("note 5: ") == 0);
}

TEST_CASE_FIXTURE(snapshot_fixture, "snapshot decoder, mutated bytes, is safe")
{
    // Guards against crashes and unbounded memory; run it under the sanitizers as well.
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        seeded_random random(seed);
        std::string mutated = bytes;
        for (std::uint64_t i = 1 + random.below(4); i > 0; --i) {
            mutated[random.below(mutated.size())] = static_cast<char>(random.below(256));
        }
        if (random.below(4) == 0) {
            mutated.resize(random.below(mutated.size()));
        }
        const result<route_plan> decoded = decodeSnapshot(mutated);
        if (isOk(decoded)) {
            REQUIRE(isOk(encodeSnapshot(valueOf(decoded))));
        }
    }
    for (std::size_t length = 0; length < bytes.size(); length += 7) {
        REQUIRE_FALSE(isOk(decodeSnapshot(bytes.substr(0, length))));
    }
    REQUIRE_FALSE(isOk(decodeSnapshot(bytes + '\0')));
    REQUIRE_FALSE(isOk(decodeSnapshot(std::string(MaxSnapshotBytes + 1, 'x'))));
}

TEST_CASE_FIXTURE(snapshot_fixture, "snapshot, large size after many notes, fits into one object")
{
    intent large = sampleIntent(0);
    for (int i = 1; i < 1800; ++i) {
        addService(large, "service-" + std::to_string(i));
    }
    for (std::size_t i = 0; i < 2800; ++i) {
        addServer(large, {static_cast<std::uint16_t>(i % 1800)},
                  {static_cast<std::uint16_t>(i % 3)});
    }
    route_plan current(route_plan{}, large);
    for (int change = 0; change < 2000; ++change) {
        ++large.number.value;
        backend_server &server = large.backendServers[large.number.value * 7919 % 2800];
        server.draining = !server.draining;
        current = route_plan(current, large);
    }
    const result<std::string> encoded = encodeSnapshot(current);
    REQUIRE(isOk(encoded));
    MESSAGE("snapshot bytes: ", valueOf(encoded).size());
    CHECK(isOk(decodeSnapshot(valueOf(encoded))));
}

} // namespace ebonyway
