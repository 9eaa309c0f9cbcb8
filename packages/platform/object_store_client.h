#pragma once

#include "forwarding/process/store_call.h"
#include "io/http_client.h"

#include <array>
#include <memory>

namespace ebonyway::platform {

/**
 * HTTP client of the platform's object store. Uses one connection for each kind of object, so that
 * a pending watch does not block other calls. Runs on the reactor's thread.
 */
class object_store_client : public store_port
{
public:
    object_store_client(ACE_Reactor &loop, endpoint store, answer_handler onAnswer);

    void start(const store_call &call) override;
    void cancel(store_kind kind) override;
    void expire(time_point now) override;
    std::uint64_t callCount() const override { return m_calls; }

private:
    http_client &clientFor(store_kind kind);

    answer_handler m_onAnswer;
    std::array<std::unique_ptr<http_client>, StoreKindCount> m_clients;
    std::uint64_t m_calls = 0;
};

} // namespace ebonyway::platform
