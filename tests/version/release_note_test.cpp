#include "core/duration_text.h"
#include "core/seeded_random.h"
#include "version/note_effect.h"
#include "version/note_fold.h"
#include "version/note_samples.h"
#include "version/release_note.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

struct release_note_fixture
{
    route_plan plan = firstPlan();

    /** Folds sections as the next note and returns the message of the refusal, or "". */
    std::string refusalOf(const std::string &sections) const
    {
        const std::uint64_t number = plan.currentIntent().number.value + 1;
        const auto folded = foldReleaseNote(plan.currentIntent(), noteText(number, sections));
        return isOk(folded) ? "" : describe(errorOf(folded));
    }

    std::vector<std::string> adopt(const std::string &sections)
    {
        const std::uint64_t number = plan.currentIntent().number.value + 1;
        const result<route_plan> next = foldNotes(plan, {noteText(number, sections)});
        REQUIRE(isOk(next));
        std::vector<std::string> lines = describeEffect(plan, valueOf(next));
        plan = valueOf(next);
        return lines;
    }
};

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE_FIXTURE(release_note_fixture, "duration, text with unit, is parsed strictly")
{
    CHECK(parseNoteDuration("900s") == std::chrono::seconds{900});
    CHECK(parseNoteDuration("15m") == std::chrono::seconds{900});
    CHECK(parseNoteDuration("30d") == std::chrono::seconds{30 * 86400});
    for (const char *text : {"", "s", "900", "15 m", "-1s", "1.5h", "15M", "99999999999d"}) {
        CAPTURE(text);
        CHECK_FALSE(parseNoteDuration(text).has_value());
    }
    CHECK(durationText(std::chrono::seconds{900}) == "15m");
    CHECK(durationText(std::chrono::seconds{61}) == "61s");
}

TEST_CASE_FIXTURE(release_note_fixture, "release note, malformed, names place, value and remedy")
{
    struct malformed
    {
        std::string sections;
        std::string expected;
    };
    const std::string service = R"("changed": {"services": [{"name": "vitrine", )";
    const std::string server = R"("changed": {"backend_servers": [{"name": "vitrine-01", )";
    const std::vector<malformed> cases{
            {R"("removed": {})", "removed is an unknown key with the value {}"},
            {R"("changed": {}, "changed": {})", "Duplicate key: 'changed'"},
            {R"("changed": [])", "changed is []. Write an object."},
            {service + R"("idle_timeout": 900}]})",
             "changed.services[0].idle_timeout is 900. Write a duration from \"1s\" to \"1d\""},
            {service + R"("idle_timeout": "25h"}]})", "idle_timeout is \"25h\""},
            {service + R"("port": 65536}]})",
             "port is 65536. Write a whole number from 1 to 65535"},
            {service + R"("objective": {"good_flow_ratio": 1}}]})", "good_flow_ratio is 1. "},
            {service + R"("addresses": ["vitrine.example"]}]})", "is \"vitrine.example\""},
            {service + R"("protocol": "sctp"}]})", "Write \"tcp\" or \"udp\""},
            {server + R"("weight": 10001}]})", "weight is 10001. Write a whole number from 0"},
            {server + R"("weight": 1.5}]})", "weight is 1.5"},
            {server + R"("draining": "yes"}]})", "draining is \"yes\". Write true or false"},
            {server + R"("tunnel": "10.1.0.1"}]})", "tunnel is \"10.1.0.1\""},
            {server + R"("zone": "a"}]})", "changed.backend_servers[0].zone is an unknown key"},
            {R"("added": {"services": [{"name": "x"}]})", "added.services[0].addresses is missing"},
            {R"("added": {"failure_domains": [{"name": "Casa Ain"}]})", "name is \"Casa Ain\""},
            {R"("withdrawn": {"services": [7]})", "withdrawn.services is 7"},
    };
    for (const malformed &item : cases) {
        CAPTURE(item.sections);
        const std::string refusal = refusalOf(item.sections);
        CAPTURE(refusal);
        CHECK(contains(refusal, item.expected));
    }
}

TEST_CASE_FIXTURE(release_note_fixture, "release note, conflicts with the intent, is refused whole")
{
    struct conflicting
    {
        std::string sections;
        std::string expected;
    };
    const std::string server = R"("added": {"backend_servers": [{"name": "v-7", )";
    const std::vector<conflicting> cases{
            {R"("title": "x")", "Duplicate key: 'title'"},
            {R"("added": {})", "the release note changes nothing"},
            {R"("added": {"failure_domains": [{"name": "casa-ain"}]})", "which is in force"},
            {R"("changed": {"failure_domains": [{"name": "casa", "in_service": true}]})",
             "which is not in force"},
            {R"("withdrawn": {"services": ["vitrine"]})", "still has the backend server"},
            {R"("withdrawn": {"failure_domains": ["casa-ain"]})", "still has the backend server"},
            {R"("withdrawn": {"backend_servers": ["vitrine-01"]})", "which is not draining"},
            {R"("withdrawn": {"backend_servers": ["vitrine-01", "vitrine-01"]})", "more than once"},
            {server + R"("service": "x", "tunnel": "10.1.0.7:6080", "failure_domain": "casa-ain"}]})",
             "service 'x', which does not exist"},
            {server + R"("service": "vitrine", "tunnel": "10.1.0.1:6080", "failure_domain": "casa-ain"}]})",
             "of another backend server of its service"},
            {R"("added": {"services": [{"name": "b", "addresses": ["203.0.113.10"], "protocol": "tcp", "port": 443}]})",
             "repeats 203.0.113.10:443"},
            {R"("changed": {"services": [{"name": "vitrine", "port": 444}]})",
             "breaks every open flow"},
            {R"("changed": {"services": [{"name": "vitrine", "addresses": ["203.0.113.11"]}]})",
             "removes the address 203.0.113.10"},
            {R"("changed": {"backend_servers": [{"name": "vitrine-01", "tunnel": "10.1.0.9:6080"}]})",
             "breaks its open flows"},
    };
    for (const conflicting &item : cases) {
        CAPTURE(item.sections);
        const std::string refusal = refusalOf(item.sections);
        CAPTURE(refusal);
        CHECK(contains(refusal, item.expected));
    }
}

TEST_CASE_FIXTURE(release_note_fixture, "release note, wrong number or size, is refused by kind")
{
    const intent &current = plan.currentIntent();
    const auto kindOf = [&current](const std::string &text) {
        const auto folded = foldReleaseNote(current, text);
        return isOk(folded) ? error_kind::Internal : errorOf(folded).kind;
    };
    CHECK(kindOf(drainNote(1, "vitrine-01")) == error_kind::Conflict);
    CHECK(kindOf(drainNote(3, "vitrine-01")) == error_kind::InvalidInput);
    CHECK(kindOf(std::string(MaxNoteBytes + 1, ' ')) == error_kind::LimitExceeded);
    std::string domains;
    for (std::size_t i = 0; i < MaxFailureDomains; ++i) {
        domains += (i == 0 ? "" : ", ") + (R"({"name": "d)" + std::to_string(i) + R"("})");
    }
    CHECK(kindOf(noteText(2, R"("added": {"failure_domains": [)" + domains + "]}"))
          == error_kind::LimitExceeded);
}

TEST_CASE_FIXTURE(release_note_fixture, "effect, drain and domain changes, is told in plain words")
{
    CHECK(adopt(R"("changed": {"backend_servers": [{"name": "vitrine-03", "draining": true}]})")
          == std::vector<std::string>{
                  "backend server vitrine-03 in casa-ain is drained: it gets no new flow; open "
                  "flows run out; 85 of 512 slots of vitrine move"});
    CHECK(adopt(R"("changed": {"failure_domains": [{"name": "casa-sidi", "in_service": false}]})")
          == std::vector<std::string>{
                  "failure domain casa-sidi is taken out of service: its 2 backend servers get no "
                  "packet, and their open flows are given up",
                  "205 of 512 slots of vitrine move"});
    CHECK(adopt(R"("withdrawn": {"backend_servers": ["vitrine-03"]})")
          == std::vector<std::string>{"backend server vitrine-03 in casa-ain is withdrawn: flows "
                                      "still open on it are given up"});
    const auto lines = adopt(
            R"("changed": {"backend_servers": [{"name": "vitrine-06", "weight": 0, "slots": 8},
               {"name": "vitrine-02", "draining": true}, {"name": "vitrine-05", "draining": true}]})");
    CHECK(lines.back()
          == "service vitrine has no backend server for new flows: they are dropped until one is "
             "added or returns");
}

TEST_CASE_FIXTURE(release_note_fixture, "ids, object withdrawn and added again, are not reused")
{
    // Guards against slot marks and tracked flows that would point at another backend server.
    adopt(R"("changed": {"backend_servers": [{"name": "vitrine-06", "draining": true}]})");
    adopt(R"("withdrawn": {"backend_servers": ["vitrine-06"]})");
    adopt(R"("added": {"backend_servers": [{"name": "vitrine-06", "service": "vitrine",
             "tunnel": "10.1.0.6:6080", "failure_domain": "casa-ain"}]})");
    CHECK(plan.currentIntent().backendServers.back().id == backend_server_id{6});
}

TEST_CASE_FIXTURE(release_note_fixture, "release note parser, mutated text, never fails otherwise")
{
    // Guards against crashes on hostile text; every outcome must be a note or a typed error.
    const std::string text = firstNote();
    for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
        seeded_random random(seed);
        std::string mutated =
                text.substr(0, random.below(4) == 0 ? random.below(text.size()) : text.size());
        for (std::uint64_t i = random.below(6); i > 0 && !mutated.empty(); --i) {
            mutated[random.below(mutated.size())] = random.below(2) == 0
                                                            ? "{}[],:\"0-e/*"[random.below(12)]
                                                            : static_cast<char>(random.below(256));
        }
        const auto folded = foldReleaseNote(intent{}, mutated);
        REQUIRE((isOk(folded) || !errorOf(folded).remedy.empty()));
    }
    REQUIRE_FALSE(isOk(parseReleaseNote(std::string(500000, '['))));
}

} // namespace ebonyway
