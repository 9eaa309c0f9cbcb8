#include "platform/object_store_client.h"

#include "platform/object_codec.h"

#include <chrono>
#include <utility>

namespace ebonyway::platform {

object_store_client::object_store_client(ACE_Reactor &loop, endpoint store, answer_handler onAnswer)
    : m_onAnswer(std::move(onAnswer))
{
    for (auto &client : m_clients) {
        client = std::make_unique<http_client>(loop, store);
    }
}

http_client &object_store_client::clientFor(store_kind kind)
{
    return *m_clients[static_cast<std::size_t>(kind)];
}

void object_store_client::start(const store_call &call)
{
    ++m_calls;
    const time_point deadline = std::chrono::steady_clock::now() + call.timeout;
    clientFor(call.kind).call(
            "GET", encodeCall(call), "", deadline,
            [this, call](const result<http_response> &outcome) {
                if (!isOk(outcome)) {
                    m_onAnswer(call.kind, store_failure{store_failure::cause::Unreachable,
                                                        errorOf(outcome).message});
                    return;
                }
                const http_response &response = valueOf(outcome);
                store_answer answer = decodeAnswer(call, response.status, response.body);
                setEra(answer, decodeEra(response.headers));
                m_onAnswer(call.kind, answer);
            });
}

void object_store_client::cancel(store_kind kind)
{
    clientFor(kind).cancel();
}

void object_store_client::expire(time_point now)
{
    for (const auto &client : m_clients) {
        client->expire(now);
    }
}

} // namespace ebonyway::platform
