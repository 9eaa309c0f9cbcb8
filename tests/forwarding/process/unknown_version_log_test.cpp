#include "forwarding/directory_samples.h"
#include "forwarding/process/unknown_version_log.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct unknown_version_log_fixture
{
    unknown_version_log subject;

    static endpoint sender(std::uint32_t index)
    {
        return samples::address(0x0a010000 + index, 7'720);
    }
};

} // namespace

// During a rolling update, each heartbeat of each other instance once wrote a line.
TEST_CASE_FIXTURE(unknown_version_log_fixture, "version, seen again from a sender, is not new")
{
    CHECK(subject.addIfNew(sender(1), 6));
    CHECK_FALSE(subject.addIfNew(sender(1), 6));
    CHECK_FALSE(subject.addIfNew(sender(1), 6));
}

TEST_CASE_FIXTURE(unknown_version_log_fixture, "version, other sender or version, is new")
{
    CHECK(subject.addIfNew(sender(1), 6));
    CHECK(subject.addIfNew(sender(2), 6));
    CHECK(subject.addIfNew(sender(1), 7));
    CHECK_FALSE(subject.addIfNew(sender(2), 6));
    CHECK_FALSE(subject.addIfNew(sender(1), 6));
}

// Forged senders must not make the process grow.
TEST_CASE_FIXTURE(unknown_version_log_fixture, "senders, more than the limit, replace the oldest")
{
    for (std::uint32_t index = 0; index < unknown_version_log::MaxEntries; ++index) {
        CHECK(subject.addIfNew(sender(index), 6));
    }
    CHECK(subject.size() == unknown_version_log::MaxEntries);
    CHECK_FALSE(subject.addIfNew(sender(0), 6));
    CHECK(subject.addIfNew(sender(unknown_version_log::MaxEntries), 6));
    CHECK(subject.size() == unknown_version_log::MaxEntries);
    CHECK_FALSE(subject.addIfNew(sender(1), 6));
    CHECK(subject.addIfNew(sender(0), 6));
}

} // namespace ebonyway
