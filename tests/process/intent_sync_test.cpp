#include <doctest/doctest.h>

#include "process/control_fleet.h"

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

struct intent_sync_fixture
{
    control_fleet fleet{11, {}};

    ~intent_sync_fixture()
    {
        CHECK(fleet.breaches.notesFell == 0);
        CHECK(fleet.breaches.notesForked == 0);
    }
};

} // namespace

TEST_CASE_FIXTURE(intent_sync_fixture, "intent sync, a note is accepted, all 8 have it within 3 s")
{
    fleet.startMany(8);
    fleet.run(5s);
    for (int i = 0; i < 20; ++i) {
        const std::uint64_t note = fleet.acceptNote();
        const duration taken = fleet.runUntilAllHave(note, 10s);
        CHECK(taken <= 3s);
        fleet.run(1s);
    }
}

} // namespace ebonyway
