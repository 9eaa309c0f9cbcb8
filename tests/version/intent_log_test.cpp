#include "version/intent_log.h"
#include "version/note_samples.h"
#include "version/release_note.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct intent_log_fixture
{
    intent_log log;

    intent_log_fixture()
    {
        REQUIRE(adopted(log.adoptNote({1}, firstNote())));
        REQUIRE(adopted(log.adoptNote({2}, drainNote(2, "vitrine-01"))));
    }

    static bool adopted(const adoption &outcome)
    {
        return std::holds_alternative<note_number>(outcome);
    }

    static refusal_cause causeOf(const adoption &outcome)
    {
        return std::get<adoption_refusal>(outcome).cause;
    }
};

} // namespace

TEST_CASE_FIXTURE(intent_log_fixture,
                  "intent log, old, missing and foreign notes, are refused by cause")
{
    const note_digest before = log.digest();
    CHECK(causeOf(log.adoptNote({2}, drainNote(2, "vitrine-01"))) == refusal_cause::Stale);
    CHECK(causeOf(log.adoptNote({2}, drainNote(2, "vitrine-04"))) == refusal_cause::Fork);
    CHECK(causeOf(log.adoptNote({4}, drainNote(4, "vitrine-04"))) == refusal_cause::Gap);
    CHECK(causeOf(log.adoptNote({3}, drainNote(3, "vitrine-04"), note_digest{}))
          == refusal_cause::Fork);
    CHECK(causeOf(log.adoptNote({3}, drainNote(3, "unknown"))) == refusal_cause::Invalid);
    CHECK(causeOf(log.adoptNote({3}, drainNote(2, "vitrine-04"))) == refusal_cause::Invalid);
    CHECK(log.number() == note_number{2});
    CHECK(log.digest() == before);
    const std::string next = drainNote(3, "vitrine-04");
    CHECK(adopted(log.adoptNote({3}, next, digestNote(before, next))));
    CHECK(*log.noteText({3}) == next);
}

TEST_CASE_FIXTURE(intent_log_fixture, "intent log, old and foreign snapshots, never move back")
{
    // Guards against a restored platform store and against peers of a forked history.
    const std::string old = valueOf(encodeSnapshot(firstPlan()));
    CHECK(causeOf(log.adoptSnapshot(old)) == refusal_cause::Stale);
    const route_plan forked = valueOf(foldNotes(firstPlan(), {drainNote(2, "vitrine-04")}));
    CHECK(causeOf(log.adoptSnapshot(valueOf(encodeSnapshot(forked)))) == refusal_cause::Fork);
    CHECK(causeOf(log.adoptSnapshot("")) == refusal_cause::Invalid);

    const route_plan newer = valueOf(foldNotes(*log.plan(), {drainNote(3, "vitrine-04")}));
    const std::string bytes = valueOf(encodeSnapshot(newer));
    CHECK(causeOf(log.adoptSnapshot(bytes, note_digest{})) == refusal_cause::Fork);
    CHECK(adopted(log.adoptSnapshot(bytes)));
    CHECK(log.number() == note_number{3});
}

TEST_CASE_FIXTURE(intent_log_fixture, "intent log, positions of peers, are compared with the chain")
{
    intent_log behind;
    CHECK(log.compare({2}, log.digest()) == chain_relation::Same);
    CHECK(log.compare({0}, behind.digest()) == chain_relation::PeerBehind);
    CHECK(behind.compare({2}, log.digest()) == chain_relation::PeerAhead);
    CHECK(log.compare({1}, log.digest()) == chain_relation::Fork);
}

} // namespace ebonyway
