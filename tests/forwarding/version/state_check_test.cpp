#include "forwarding/version/state_check.h"

#include <doctest/doctest.h>

namespace ebonyway {

namespace {

using namespace std::chrono_literals;

std::string fieldName(state_field field)
{
    return "field" + std::to_string(static_cast<int>(field));
}

/** A desired state of two routes and two services without findings. */
struct state_check_fixture
{
    state_draft draft;

    state_check_fixture()
    {
        draft.version = 7;
        draft.idleTimeout = 15s;
        draft.routes = {makeRoute("r1", "198.18.0.1:443", "desk"),
                        makeRoute("r2", "198.18.0.2:443", "shop")};
        draft.services = {makeService("desk"), makeService("shop")};
    }

    static drafted_route makeRoute(const std::string &name, const std::string &address,
                                   const std::string &service)
    {
        drafted_route drafted;
        drafted.place = "routes." + name;
        drafted.item.name = name;
        drafted.item.address = valueOf(endpoint::parse(address));
        drafted.item.shares = {{service, 1}};
        drafted.item.goal = 250ms;
        drafted.item.timeout = 4s;
        drafted.shares = {{drafted.place + ".share", service, 1}};
        return drafted;
    }

    static drafted_service makeService(const std::string &name)
    {
        return {"services." + name, {name, 100, 2s, 5.0}};
    }

    /** Checks that there is exactly one finding. */
    void checkOnly(state_severity severity, const std::string &code, const std::string &place) const
    {
        const auto findings = checkState(draft, fieldName);
        REQUIRE(findings.size() == 1);
        CHECK(findings.front().severity == severity);
        CHECK(findings.front().code == code);
        CHECK(findings.front().place == place);
        CHECK_FALSE(findings.front().message.empty());
        CHECK_FALSE(findings.front().remedy.empty());
    }

    void checkError(const std::string &code, const std::string &place) const
    {
        checkOnly(state_severity::Error, code, place);
    }

    void checkWarning(const std::string &code, const std::string &place) const
    {
        checkOnly(state_severity::Warning, code, place);
    }

    static std::string at(const std::string &place, state_field field)
    {
        return place + "." + fieldName(field);
    }

    std::vector<std::string> changesFrom(const state_draft &inForce) const
    {
        std::vector<std::string> texts;
        for (const state_change &change : compareStates(inForce, draft)) {
            texts.push_back(change.text);
        }
        return texts;
    }
};

} // namespace

TEST_CASE_FIXTURE(state_check_fixture, "desired state, without faults, has no findings")
{
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "route names, one used twice, are an error")
{
    draft.routes[1].item.name = "r1";
    checkError("duplicate_route_name", at("routes.r2", state_field::Name));
}

TEST_CASE_FIXTURE(state_check_fixture, "service names, one used twice, are an error")
{
    draft.services.push_back(makeService("shop"));
    checkError("duplicate_service_name", at("services.shop", state_field::Name));
}

TEST_CASE_FIXTURE(state_check_fixture, "route, to a service that is not listed, is an error")
{
    draft.routes.push_back(makeRoute("r3", "198.18.0.3:443", "vault"));
    checkError("service_not_listed", "routes.r3.share");
}

// Services of a route that could not be decoded must not be reported as unused or missing.
TEST_CASE_FIXTURE(state_check_fixture, "use of services, draft incomplete, is not checked")
{
    draft.isComplete = false;
    draft.routes.pop_back();
    draft.services.erase(draft.services.begin());
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "route, without any share, is an error")
{
    draft.routes.push_back(makeRoute("r3", "198.18.0.3:443", "shop"));
    draft.routes[2].shares.clear();
    draft.routes[2].item.shares.clear();
    checkError("route_without_service", at("routes.r3", state_field::Shares));
}

TEST_CASE_FIXTURE(state_check_fixture, "route, all shares without weight, is an error")
{
    draft.routes.push_back(makeRoute("r3", "198.18.0.3:443", "shop"));
    draft.routes[2].shares[0].weight = 0;
    draft.routes[2].item.shares.clear();
    const auto findings = checkState(draft, fieldName);
    REQUIRE(findings.size() == 2);
    CHECK(findings[0].code == "share_without_weight");
    CHECK(findings[1].code == "route_without_service");
}

TEST_CASE_FIXTURE(state_check_fixture, "share, weight 0 beside others, is a warning")
{
    draft.routes[0].shares.push_back({"routes.r1.second", "shop", 0});
    checkWarning("share_without_weight", "routes.r1.second");
}

// The directory keeps the first route of an address, so the second would silently do nothing.
TEST_CASE_FIXTURE(state_check_fixture, "route, address and port of another, is a warning")
{
    draft.routes[1].item.address = draft.routes[0].item.address;
    checkWarning("route_never_matches", at("routes.r2", state_field::Address));
}

TEST_CASE_FIXTURE(state_check_fixture, "route, IPv6 address, is a warning")
{
    draft.routes[0].item.address = valueOf(endpoint::parse("[2001:db8::1]:443"));
    checkWarning("route_never_matches", at("routes.r1", state_field::Address));
}

TEST_CASE_FIXTURE(state_check_fixture, "routes, same address and other ports, have no findings")
{
    draft.routes[1].item.address = draft.routes[0].item.address;
    draft.routes[1].item.address.port = 80;
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "service, no route leads to it, is a warning")
{
    draft.services.push_back(makeService("vault"));
    checkWarning("service_not_used", "services.vault");
}

TEST_CASE_FIXTURE(state_check_fixture, "goal, above the timeout, is a warning")
{
    draft.routes[0].item.goal = 4001ms;
    checkWarning("goal_above_timeout", at("routes.r1", state_field::Goal));
}

TEST_CASE_FIXTURE(state_check_fixture, "goal and timeout, equal, have no findings")
{
    draft.routes[0].item.goal = 4s;
    draft.idleTimeout = 4s;
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "idle timeout, shorter than a route's timeout, is a warning")
{
    draft.routes[1].item.timeout = 16s;
    checkWarning("idle_timeout_below_timeout", fieldName(state_field::IdleTimeout));
}

TEST_CASE_FIXTURE(state_check_fixture,
                  "idle timeout, default below a route's timeout, is a warning")
{
    draft.idleTimeout = 0ms;
    CHECK(checkState(draft, fieldName).empty());
    draft.routes[1].item.timeout = DefaultIdleTimeout + 1ms;
    checkWarning("idle_timeout_below_timeout", fieldName(state_field::IdleTimeout));
}

TEST_CASE_FIXTURE(state_check_fixture, "cold duration, without cold rate, is a warning")
{
    draft.services[0].item.coldRequestsPerSecond = 0;
    checkWarning("cold_rate_none", at("services.desk", state_field::ColdRate));
}

TEST_CASE_FIXTURE(state_check_fixture, "cold rate, without cold duration, is a warning")
{
    draft.services[0].item.coldDuration = 0ms;
    checkWarning("cold_duration_none", at("services.desk", state_field::ColdDuration));
}

TEST_CASE_FIXTURE(state_check_fixture, "goal of 0, others have one, is a warning")
{
    draft.routes[0].item.goal = 0ms;
    checkWarning("goal_none", at("routes.r1", state_field::Goal));
    draft.routes[1].item.goal = 0ms;
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "timeout of 0, others have one, is a warning")
{
    draft.routes[0].item.timeout = 0ms;
    checkWarning("timeout_none", at("routes.r1", state_field::Timeout));
    draft.routes[1].item.timeout = 0ms;
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "maximum of connections of 0, others have one, is a warning")
{
    draft.services[0].item.maxConnections = 0;
    checkWarning("max_connections_none", at("services.desk", state_field::ConnectionLimit));
    draft.services[1].item.maxConnections = 0;
    CHECK(checkState(draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "cold limits of 0, others have them, are a warning")
{
    draft.services[0].item.coldDuration = 0ms;
    draft.services[0].item.coldRequestsPerSecond = 0;
    checkWarning("cold_limits_none", at("services.desk", state_field::ColdDuration));
}

TEST_CASE_FIXTURE(state_check_fixture, "version, not higher than the one in force, is an error")
{
    state_draft inForce = draft;
    const auto findings = checkSuccession(inForce, draft, fieldName);
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].code == "version_not_higher");
    CHECK(findings[0].place == fieldName(state_field::Version));
    inForce.version = 6;
    CHECK(checkSuccession(inForce, draft, fieldName).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "difference, equal states in another order, is empty")
{
    const state_draft inForce = draft;
    std::swap(draft.routes[0], draft.routes[1]);
    CHECK(compareStates(inForce, draft).empty());
}

TEST_CASE_FIXTURE(state_check_fixture, "difference, every field changed, lists each")
{
    const state_draft inForce = draft;
    draft.version = 8;
    draft.idleTimeout = 0ms;
    route &item = draft.routes[0].item;
    item.address.port = 444;
    item.shares = {{"desk", 90}, {"shop", 10}};
    item.priority = 2;
    item.idempotent = true;
    item.goal = 300ms;
    item.timeout = 5s;
    draft.services[1].item = {"shop", 0, 3s, 12.5};
    const std::string sharesChange =
            "route r1: target changes from desk with weight 1 to desk with weight 90, shop with "
            "weight 10";
    const std::string addressChange =
            "route r1: address changes from 198.18.0.1:443 to 198.18.0.1:444; open flows to "
            "198.18.0.1:443 end";
    const std::vector<std::string> expected{
            "version changes from 7 to 8",
            "idle timeout changes from 15000 ms to none",
            addressChange,
            sharesChange,
            "route r1: priority changes from 0 to 2",
            "route r1: idempotent changes from no to yes",
            "route r1: goal changes from 250 ms to 300 ms",
            "route r1: timeout changes from 4000 ms to 5000 ms",
            "service shop: maximum of connections changes from 100 to none",
            "service shop: cold duration changes from 2000 ms to 3000 ms",
            "service shop: cold rate changes from 5 per second to 12.5 per second",
    };
    CHECK(changesFrom(inForce) == expected);
}

TEST_CASE_FIXTURE(state_check_fixture, "difference, routes and services replaced, tells lost flows")
{
    const state_draft inForce = draft;
    draft.routes[1] = makeRoute("r3", "198.18.0.3:443", "vault");
    draft.services[1] = makeService("vault");
    const std::vector<std::string> expected{
            "route r2 is removed; open flows to 198.18.0.2:443 end",
            "route r3 is added: address 198.18.0.3:443; target vault with weight 1; priority 0; "
            "idempotent no; goal 250 ms; timeout 4000 ms",
            "service shop is removed",
            "service vault is added: maximum of connections 100; cold duration 2000 ms; cold rate "
            "5 per second",
    };
    CHECK(changesFrom(inForce) == expected);
}

// Instances end flows by address; a new name alone must not be announced as an interruption.
TEST_CASE_FIXTURE(state_check_fixture, "difference, route renamed, ends no flows")
{
    const state_draft inForce = draft;
    draft.routes[1].item.name = "r3";
    const auto changes = compareStates(inForce, draft);
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].text == "route r2 is removed");
    CHECK_FALSE(changes[0].endsFlows);
}

} // namespace ebonyway
